#include "../standin-2/deployment.hpp"

#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <iostream>

// A tenant over its limit, whose clients leave in the middle of a transaction.
// Counts the tenant's operations of which a server ran something.
namespace tanagerhoist::review
{
namespace
{

constexpr double rate = 20;
constexpr double burst = 10;
constexpr std::chrono::seconds window{5};
constexpr double overage = 0.1;
constexpr double slack = 20;

constexpr milliseconds arrival_interval{10}; // 100 a second, 5 times the rate
constexpr milliseconds load_time{20000};
constexpr milliseconds last_answers{2000};
constexpr milliseconds leaves_after{10}; // servers work 33 ms

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

class scenario
{
public:
    scenario(deployment& on, bool leaves) : on_(on), leaves_(leaves) {}

    int run(const asio::yield_context& yield)
    {
        if (!on_.wait_until_ready(yield))
        {
            on_.events().write("case", "the daemons are not ready");
            return exit_not_run;
        }
        const auto until = now() + load_time;
        for (std::size_t client = 0; now() < until; ++client)
        {
            asio::spawn(
                on_.context(),
                [this, client](const asio::yield_context& of_client)
                { operation(client, of_client); },
                asio::detached);
            on_.pause(arrival_interval, yield);
        }
        on_.pause(last_answers, yield);
        return judge();
    }

private:
    /// A transaction of one read; the client leaves while the read runs, or
    /// waits for its answer and commits.
    void operation(std::size_t client, const asio::yield_context& yield)
    {
        session with(on_.context());
        const auto& vm = on_.ingress().choose(client);
        if (!with.start(vm.sessions_port(), "db0", "key-t1", yield))
        {
            return;
        }
        ++asked_;
        with.send(new_id(), "BEGIN READ", yield);
        const auto begun = with.receive(yield);
        if (!begun.complete || begun.is_error)
        {
            ++refused_;
            on_.events().write("client", "refused: " + begun.result);
            with.close();
            return;
        }
        const auto id = new_id();
        with.send(id, "READ 1a4", yield);
        on_.events().write("client", "sent " + id + " to " + vm.name());
        if (leaves_)
        {
            on_.pause(leaves_after, yield);
            on_.events().write("client", "leaves after " + id);
            with.close();
            return;
        }
        const auto answer = with.receive(yield);
        on_.events().write("client", id + " answered: " + answer.result);
        with.send(new_id(), "COMMIT", yield);
        with.receive(yield);
        with.close();
    }

    int judge() const
    {
        const double seconds = static_cast<double>(window.count());
        const double allowed = (rate * seconds + burst) * (1 + overage) + slack;
        std::deque<moment> in_window;
        std::size_t most = 0;
        std::size_t all = 0;
        for (const auto& one : on_.runs())
        {
            if (one.workspace != "t1" || one.text != "READ 1a4")
            {
                continue;
            }
            ++all;
            in_window.push_back(one.at);
            while (in_window.front() + window <= one.at)
            {
                in_window.pop_front();
            }
            most = std::max(most, in_window.size());
        }
        const bool broken = static_cast<double>(most) > allowed;
        const auto text =
            std::to_string(asked_) + " operations asked for, " +
            std::to_string(refused_) + " refused, " + std::to_string(all) +
            " run; at most " + std::to_string(most) + " run in 5 s, allowed " +
            std::to_string(allowed) + (broken ? ": QUOTA broken" : ": held");
        on_.events().write("case", text);
        std::cout << text << '\n';
        return broken ? exit_broken : exit_held;
    }

    deployment& on_;
    bool leaves_;
    std::size_t asked_ = 0;
    std::size_t refused_ = 0;
};

int play(const std::string& folder, const std::string& record_file,
         bool trouble)
{
    deployment_options options;
    options.groups = 1;
    options.tenants = {{"t1", "key-t1", rate, burst},
                       {"t2", "key-t2", rate, burst}};
    deployment on(options, folder, record_file);
    int result = exit_not_run;
    asio::spawn(
        on.context(),
        [&](const asio::yield_context& yield)
        {
            scenario played(on, trouble);
            result = played.run(yield);
            on.context().stop();
        },
        asio::detached);
    on.context().run();
    return result;
}

} // namespace
} // namespace tanagerhoist::review

int main(int argc, char** argv)
{
    if (argc != 3)
    {
        std::cerr << "usage: clients_leave FOLDER RECORD\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    return tanagerhoist::review::play(
        argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0");
}

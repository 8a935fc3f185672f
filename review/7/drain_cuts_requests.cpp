#include "../standin-2/deployment.hpp"

#include <boost/asio/detached.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <string>

// Two of a data centre's three daemons are stopped in turn under load. Counts
// the requests that a stopping daemon passed on to a server and then dropped
// with the client's connection.
namespace tanagerhoist::review
{
namespace
{

constexpr milliseconds arrival_interval{4}; // 250 operations a second
constexpr milliseconds work{55};
constexpr milliseconds route_timeout{3000};
constexpr milliseconds quiet_time{6000};
constexpr milliseconds stop_gap{1050};
constexpr milliseconds time_after{9000};
constexpr milliseconds last_answers{3500};

// Clients with long transactions.
constexpr std::size_t long_clients = 24;
constexpr int long_statements = 12;
constexpr milliseconds long_pause{300};

// The rule.
constexpr milliseconds grace{6000};
constexpr milliseconds after_grace{1000};
constexpr milliseconds early{3000}; // after the SIGTERM
constexpr milliseconds loss_slack{200};

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

class scenario
{
public:
    scenario(deployment& on, bool stops) : on_(on), stops_(stops) {}

    int run(const asio::yield_context& yield)
    {
        if (!on_.wait_until_ready(yield))
        {
            on_.events().write("case", "the daemons are not ready");
            return exit_not_run;
        }
        begin_load();
        on_.pause(quiet_time, yield);
        if (stops_)
        {
            stop(0);
            on_.pause(stop_gap, yield);
            stop(1);
        }
        on_.pause(time_after, yield);
        ended_ = true;
        on_.pause(last_answers, yield);
        return judge();
    }

private:
    void begin_load()
    {
        asio::spawn(
            on_.context(),
            [this](const asio::yield_context& yield)
            {
                for (std::size_t client = 0; !ended_; ++client)
                {
                    asio::spawn(
                        on_.context(),
                        [this, client](const asio::yield_context& of_client)
                        { look_up(client, of_client); },
                        asio::detached);
                    on_.pause(arrival_interval, yield);
                }
            },
            asio::detached);
        for (std::size_t client = 0; client < long_clients; ++client)
        {
            asio::spawn(
                on_.context(),
                [this, client](const asio::yield_context& yield)
                { transactions(client, yield); },
                asio::detached);
        }
    }

    void stop(std::size_t index)
    {
        auto& vm = on_.vm(index);
        stopped_[vm.name()] = now();
        vm.send_signal(SIGTERM);
    }

    static std::string database_of(std::size_t client)
    {
        return "db" + std::to_string(client % 3);
    }

    /// A session of a single read.
    void look_up(std::size_t client, const asio::yield_context& yield)
    {
        session with(on_.context());
        const auto& vm = on_.ingress().choose(client * 7919 / 3);
        if (with.start(vm.sessions_port(), database_of(client), "key-t1",
                       yield))
        {
            ask(with, vm.name(), "READ 1a4", yield);
            with.close();
        }
    }

    /// Transactions of several reads, with pauses, one after the other.
    void transactions(std::size_t client, const asio::yield_context& yield)
    {
        while (!ended_)
        {
            session with(on_.context());
            const auto& vm = on_.ingress().choose(client);
            if (with.start(vm.sessions_port(), database_of(client), "key-t2",
                           yield))
            {
                transaction(with, vm.name(), yield);
            }
            with.close();
            on_.pause(long_pause, yield);
        }
    }

    void transaction(session& with, const std::string& vm,
                     const asio::yield_context& yield)
    {
        bool goes_on = ask(with, vm, "BEGIN READ", yield);
        for (int i = 0; goes_on && i < long_statements; ++i)
        {
            goes_on = ask(with, vm, "READ 2b5", yield);
            on_.pause(long_pause, yield);
        }
        if (goes_on)
        {
            ask(with, vm, "COMMIT", yield);
        }
    }

    /// Sends a statement, and notes if the connection ends without an answer.
    /// @return whether it was answered with success
    bool ask(session& with, const std::string& vm, const std::string& text,
             const asio::yield_context& yield)
    {
        const auto id = new_id();
        const auto sent = now();
        with.send(id, text, yield);
        on_.events().write("client", "sent " + id + " to " + vm + ": " + text);
        const auto got = with.receive(yield);
        ++asked_;
        on_.events().write("client",
                           id + (got.complete ? " answered: " + got.result
                                              : " cut, no answer"));
        if (!got.complete)
        {
            note_cut(vm, id, sent);
        }
        return got.complete && !got.is_error;
    }

    void note_cut(const std::string& vm, const std::string& id, moment sent)
    {
        const auto cut = now();
        ++cut_;
        const auto stop = stopped_.find(vm);
        const bool planned =
            stop != stopped_.end() && cut <= stop->second + grace + after_grace;
        const bool passed_on = on_.has_run(id);
        const bool lost = passed_on || cut > sent + loss_slack;
        if (!planned || !lost || cut >= sent + route_timeout)
        {
            return;
        }
        const auto begin_of_last_sixth = stop->second + grace * 5 / 6;
        const bool still_at_work =
            passed_on && cut >= begin_of_last_sixth &&
            on_.run_of(id).at + work >= begin_of_last_sixth;
        if (still_at_work && sent <= stop->second + early)
        {
            return; // excused by the rule
        }
        ++lost_;
        const auto after = [&](moment at)
        {
            return std::to_string(
                std::chrono::duration_cast<milliseconds>(at - stop->second)
                    .count());
        };
        on_.events().write("case", "LOST " + id + " at " + vm + ": sent " +
                                       after(sent) + " ms, cut " + after(cut) +
                                       " ms after the SIGTERM, " +
                                       (passed_on ? "run" : "not run"));
    }

    int judge()
    {
        const auto text = std::to_string(asked_) + " requests, " +
                          std::to_string(cut_) + " without an answer, " +
                          std::to_string(lost_) + " lost by the rule" +
                          (lost_ != 0 ? ": LOST broken" : ": held");
        on_.events().write("case", text);
        std::cout << text << '\n';
        return lost_ != 0 ? exit_broken : exit_held;
    }

    deployment& on_;
    bool stops_;
    bool ended_ = false;
    std::map<std::string, moment> stopped_; ///< time of the SIGTERM by daemon
    std::size_t asked_ = 0;
    std::size_t cut_ = 0;
    std::size_t lost_ = 0;
};

int play(const std::string& folder, const std::string& record_file,
         bool trouble)
{
    deployment_options options;
    options.work = work;
    options.timeout = route_timeout;
    options.tenants = {{"t1", "key-t1", 1000, 500},
                       {"t2", "key-t2", 1000, 500}};
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
        std::cerr << "usage: drain_cuts_requests FOLDER RECORD\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    return tanagerhoist::review::play(
        argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0");
}

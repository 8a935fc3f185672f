#include "../standin-2/deployment.hpp"

#include <boost/asio/detached.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

// The operator moves a route to another service and takes the change back a
// second later, while one of the two replicas lags. Counts reads of sessions
// that ran on a log without the session's own commit.
namespace tanagerhoist::review
{
namespace
{

constexpr std::size_t clients = 12;
constexpr int rounds = 3;
constexpr std::size_t lagging_replica = 1;
constexpr milliseconds usual_lag{20};
constexpr milliseconds lag{2000}; // 100 times as late
constexpr milliseconds lag_time{6000};
constexpr milliseconds staleness{2500};
constexpr milliseconds first_positions{4000};
constexpr milliseconds writing_time{300};
constexpr milliseconds change_interval{1000};
constexpr milliseconds round_time{9000};
constexpr milliseconds last_answers{2000};

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

class scenario
{
public:
    scenario(deployment& on, bool troubled) : on_(on), troubled_(troubled) {}

    int run(const asio::yield_context& yield)
    {
        if (!on_.wait_until_ready(yield))
        {
            on_.events().write("case", "the daemons are not ready");
            return exit_not_run;
        }
        for (std::size_t client = 0; client < clients; ++client)
        {
            asio::spawn(
                on_.context(),
                [this, client](const asio::yield_context& of_client)
                { bookings(client, of_client); },
                asio::detached);
        }
        on_.pause(first_positions, yield);
        for (int round = 0; round < rounds; ++round)
        {
            set_lag(lag);
            phase_ = phase::write;
            on_.pause(writing_time, yield);
            change(1);
            phase_ = phase::read;
            on_.pause(change_interval, yield);
            change(0);
            on_.pause(lag_time - writing_time - change_interval, yield);
            set_lag(usual_lag);
            on_.pause(round_time - lag_time, yield);
        }
        phase_ = phase::ended;
        on_.pause(last_answers, yield);
        return judge();
    }

private:
    enum class phase
    {
        read,
        write,
        ended
    };

    void set_lag(milliseconds changed)
    {
        if (troubled_)
        {
            on_.set_lag(0, lagging_replica, changed);
        }
    }

    void change(std::size_t group)
    {
        if (troubled_)
        {
            on_.move_route(0, group);
        }
    }

    /// A long session: reads all the time, and writes once in each round.
    void bookings(std::size_t client, const asio::yield_context& yield)
    {
        session with(on_.context());
        const auto& vm = on_.ingress().choose(client);
        if (!with.start(vm.sessions_port(), "db0", "key-t1", yield))
        {
            return;
        }
        bool written = false;
        std::uint64_t own = 0; ///< position of the session's last commit
        while (phase_ != phase::ended)
        {
            const bool writes = phase_ == phase::write && !written;
            written = phase_ == phase::write;
            const auto id = new_id();
            const auto text = writes ? "WRITE 1a4 booked" : "READ 1a4";
            with.send(id, text, yield);
            const auto got = with.receive(yield);
            on_.events().write(vm.name(), "session " + std::to_string(client) +
                                              ' ' + id + ' ' + text + ": " +
                                              got.result);
            if (!got.complete)
            {
                return;
            }
            if (!got.is_error && writes)
            {
                // A position in the log of the first group only.
                own = ran_in_first(id) ? got.position : own;
            }
            else if (!got.is_error)
            {
                check(client, id, own);
            }
            on_.pause(milliseconds(20), yield);
        }
        with.close();
    }

    bool ran_in_first(const std::string& id) const
    {
        return on_.run_of(id).server.rfind("g0-", 0) == 0;
    }

    /// Compares the log on which a read has run with the session's commit, if
    /// that was made in the same group.
    void check(std::size_t client, const std::string& id, std::uint64_t own)
    {
        const auto& ran = on_.run_of(id);
        ++reads_;
        if (!ran_in_first(id) || ran.log_end >= own)
        {
            return;
        }
        ++stale_;
        on_.events().write(
            "case", "STALE " + id + " of session " + std::to_string(client) +
                        " ran at " + ran.server + " on a log up to " +
                        std::to_string(ran.log_end) +
                        ", the session's commit is " + std::to_string(own));
    }

    int judge()
    {
        const auto text = std::to_string(reads_) + " reads, " +
                          std::to_string(stale_) +
                          " without the session's own commit" +
                          (stale_ != 0 ? ": STALE broken" : ": held");
        on_.events().write("case", text);
        std::cout << text << '\n';
        return stale_ != 0 ? exit_broken : exit_held;
    }

    deployment& on_;
    bool troubled_;
    phase phase_ = phase::read;
    std::size_t reads_ = 0;
    std::size_t stale_ = 0;
};

int play(const std::string& folder, const std::string& record_file,
         bool trouble)
{
    deployment_options options;
    options.groups = 2;
    options.type = "read_your_writes";
    options.staleness = staleness;
    options.lag = usual_lag;
    options.tenants = {{"t1", "key-t1", 2000, 1000}};
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
        std::cerr << "usage: route_moved_back FOLDER RECORD\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    return tanagerhoist::review::play(
        argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0");
}

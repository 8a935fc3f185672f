// Share of reads served by replicas and mean read time, by the time that a read
// may wait for a replica before it goes to the primary. Exits with 1 if the
// default wait misses its target.
#include "tanagerhoist/core/log_point.hpp"
#include "tanagerhoist/decision/read_acceptance.hpp"
#include "tanagerhoist/decision/replica_view.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace tanagerhoist;

constexpr double min_replica_share = 0.90;
constexpr int vm_count = 7;
constexpr int session_count = 200;
constexpr int read_count = 60000;
constexpr microseconds read_interval{500};
constexpr int reads_per_write = 5;
constexpr microseconds round_trip{3000};

/// Append times of the primary's log, from which a replica's log end is derived
/// by its lag.
class primary_log
{
public:
    void append(moment at) { append_times_.push_back(at); }

    std::uint64_t position_at(moment when) const
    {
        const auto end =
            std::upper_bound(append_times_.begin(), append_times_.end(), when);
        return static_cast<std::uint64_t>(end - append_times_.begin());
    }

private:
    std::vector<moment> append_times_;
};

/// Outcome of the reads.
struct read_statistics
{
    /// Reads whose token was covered by a replica on arrival.
    std::uint64_t eligible = 0;
    std::uint64_t by_replica = 0;
    std::uint64_t retried = 0;
    std::uint64_t violations = 0;
    microseconds time{0};
};

std::uint64_t next_random(std::uint64_t& state)
{
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

/// Replica lag that varies around `base`; server "c" is periodically 2 s
/// behind.
microseconds simulated_lag(const std::string& server, moment now,
                           microseconds base)
{
    const auto ms = to_us(now) / 1000;
    const bool far_behind = server == "c" && ms % 10000 < 1500;
    const auto swing = microseconds(
        (ms * 37 + static_cast<std::uint64_t>(server[0]) * 11) % 7 * 1000);
    return far_behind ? microseconds(2000000) : base + swing;
}

class simulation
{
public:
    simulation(milliseconds longest_wait, microseconds lag) : lag_(lag)
    {
        replica_view_options options;
        options.longest_wait = longest_wait;
        views_.assign(vm_count, replica_view(options));
        tokens_.resize(session_count);
    }

    read_statistics run()
    {
        log_.append(now_);
        for (int i = 0; i < read_count; ++i)
        {
            now_ += read_interval;
            auto& session = tokens_[next_random(random_) % session_count];
            auto& view = views_[next_random(random_) % vm_count];
            if (i % reads_per_write == 0)
            {
                log_.append(now_);
                session = make_point(1, log_.position_at(now_));
                view.observed(now_, "a", session, microseconds::zero());
            }
            else
            {
                read(view, session);
            }
        }
        return statistics_;
    }

private:
    void read(replica_view& view, proto::LogPoint& token)
    {
        const bool eligible =
            holds("b", now_, token) || holds("c", now_, token);
        statistics_.eligible += eligible;
        moment at = now_;
        for (const auto& server : view.candidates(now_, servers_, "a", token,
                                                  true, no_tolerated_age))
        {
            if (server != "a")
            {
                const auto wait = view.expected_wait(now_, server, "a", token);
                at += std::min(wait.value_or(microseconds::zero()),
                               microseconds(milliseconds(50)));
            }
            at += round_trip;
            const auto reply = serve(server, at);
            view.observed(at, server, reply.point(),
                          milliseconds(reply.age_ms()));
            if (is_read_acceptable(reply, token, true, no_tolerated_age,
                                   server == "a"))
            {
                statistics_.by_replica += eligible && server != "a";
                statistics_.violations += !covers(reply.point(), token);
                token = reply.point();
                break;
            }
            ++statistics_.retried;
        }
        statistics_.time += at - now_;
    }

    bool holds(const std::string& server, moment when,
               const proto::LogPoint& token) const
    {
        return covers(end_of(server, when), token);
    }

    proto::LogPoint end_of(const std::string& server, moment when) const
    {
        const auto lag = server == "a" ? microseconds::zero()
                                       : simulated_lag(server, when, lag_);
        return make_point(1, log_.position_at(when - lag));
    }

    proto::ExecuteReply serve(const std::string& server, moment at) const
    {
        const moment read_at = at - round_trip / 2;
        proto::ExecuteReply reply;
        *reply.mutable_point() = end_of(server, read_at);
        const auto age = server == "a" ? microseconds::zero()
                                       : simulated_lag(server, read_at, lag_);
        reply.set_age_ms(to_ms(age));
        return reply;
    }

    static constexpr milliseconds no_tolerated_age{0};
    const std::vector<std::string> servers_{"a", "b", "c"};
    microseconds lag_;
    std::vector<replica_view> views_;
    std::vector<proto::LogPoint> tokens_;
    primary_log log_;
    moment now_{milliseconds(1)};
    std::uint64_t random_ = 88172645463325252ULL;
    read_statistics statistics_;
};

} // namespace

int main()
{
    constexpr int default_wait = 5;
    bool met = true;
    std::cout
        << "longest wait, lag: share served by replicas of the reads that a "
           "replica could serve on arrival, target "
        << min_replica_share * 100 << " %\n";
    for (const int lag_ms : {2, 10, 50})
    {
        for (const int wait : {0, 2, default_wait, 20, 50})
        {
            const auto result =
                simulation(milliseconds(wait), milliseconds(lag_ms)).run();
            const auto share = static_cast<double>(result.by_replica) /
                               static_cast<double>(result.eligible);
            const auto reads = read_count - read_count / reads_per_write;
            const bool missed =
                wait == default_wait &&
                (share < min_replica_share || result.violations != 0);
            met &= !missed;
            std::cout << wait << " ms, " << lag_ms << " ms: " << share * 100
                      << " %, mean " << result.time.count() / reads << " us, "
                      << result.retried << " retries, " << result.violations
                      << " stale" << (missed ? "  MISSED" : "") << '\n';
        }
    }
    return met ? 0 : 1;
}

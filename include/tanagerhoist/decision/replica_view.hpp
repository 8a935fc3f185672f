#ifndef TANAGERHOIST_DECISION_REPLICA_VIEW_HPP
#define TANAGERHOIST_DECISION_REPLICA_VIEW_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Parameters of the choice of replicas for reads.
struct replica_view_options
{
    /// A replica expected to hold the token within this time is preferred to
    /// the primary. 0: the primary serves every read that no replica can
    /// serve at once.
    milliseconds longest_wait{5};
    /// Time for which a replica is skipped after a failed call.
    milliseconds failure_backoff{500};
    /// A replica not observed for this time is tried with one read per
    /// interval, to observe it again.
    milliseconds explore_interval{250};
    /// Log points kept per server, from which a token's write time is
    /// estimated.
    std::size_t history = 32;
    /// Minimum time between two kept points.
    milliseconds history_step{2};
};

/// Last observed log point of each server, and the choice of servers for a
/// read. The data may be stale: `is_read_acceptable()` checks the point of each
/// answer before it is returned, so a stale view costs a retry but never gives
/// a wrong answer.
class replica_view
{
public:
    explicit replica_view(replica_view_options options = {});

    /// Records the log point and age in a server's answer received at `now`.
    void observed(moment now, const std::string& server,
                  const proto::LogPoint& point, microseconds age);

    /// Records that a call to `server` failed.
    void failed(moment now, const std::string& server);

    /// Servers to try for a read in order of preference, without duplicates;
    /// the primary is last. Replicas with the shortest expected wait come
    /// first; those with equal waits rotate between calls.
    /// @param servers of the group
    /// @param primary believed primary; empty while unknown
    /// @param token log point that the session has seen; empty if none
    /// @param has_token false for a session that lost its token: only the
    ///        primary may serve it
    /// @param tolerated_age of the route; 0 if only the token restricts the
    ///        read
    std::vector<std::string>
    candidates(moment now, const std::vector<std::string>& servers,
               const std::string& primary, const proto::LogPoint& token,
               bool has_token, milliseconds tolerated_age);

    /// Time from `now` until `server` is expected to hold `token`, assuming
    /// that its replication lag stays constant; empty if the server has not
    /// been observed.
    std::optional<microseconds>
    expected_wait(moment now, const std::string& server,
                  const std::string& primary,
                  const proto::LogPoint& token) const;

private:
    struct sample
    {
        moment at;
        proto::LogPoint point;
    };

    struct observation
    {
        bool known = false;
        proto::LogPoint point;
        microseconds age{0};
        moment seen;
        moment avoid_until;
        moment last_explored;
        std::deque<sample> history;
    };

    std::optional<microseconds> wait_for(moment now, const std::string& server,
                                         const std::string& primary,
                                         const proto::LogPoint& token,
                                         milliseconds tolerated_age);
    moment latest_write_time(moment now, const std::string& primary,
                             const proto::LogPoint& token) const;

    replica_view_options options_;
    std::map<std::string, observation> servers_;
    std::uint64_t rotation_ = 0;
};

} // namespace tanagerhoist

#endif

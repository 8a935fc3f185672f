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

/// How reads choose among replicas.
struct replica_view_options
{
    /// A replica that is expected to hold the token within this time goes
    /// before the primary. 0: the primary serves whatever no replica holds yet.
    milliseconds longest_wait{5};
    /// A server that failed is left out for so long.
    milliseconds failure_backoff{500};
    /// A replica not heard of for so long is tried once to see how it is.
    milliseconds explore_interval{250};
    /// Points of a server's log that are kept to date a token.
    std::size_t history = 32;
    /// Least time between two kept points.
    milliseconds history_step{2};
};

/// What this VM last saw of each server's log, and the choice of servers for a
/// read. It is a belief only: the answer's own point is checked by
/// `is_read_acceptable()` before it goes out, so a stale belief costs a retry
/// and never a wrong answer.
class replica_view
{
public:
    explicit replica_view(replica_view_options options = {});

    /// Notes a server's log point and age, as its answer told them at `now`.
    void observed(moment now, const std::string& server,
                  const proto::LogPoint& point, microseconds age);

    /// Notes that a call to `server` failed.
    void failed(moment now, const std::string& server);

    /// Servers to try for a read, best first, each once, the primary last.
    /// Replicas that are ready take turns; then those within the longest wait
    /// follow by their wait.
    /// @param servers of the group
    /// @param primary believed one; empty while unknown
    /// @param token what the session has seen; empty if it has seen nothing
    /// @param has_token false for a session that lost its token: the primary
    ///        alone may serve it
    /// @param tolerated_age of the route; 0: only the token bounds the read
    std::vector<std::string>
    candidates(moment now, const std::vector<std::string>& servers,
               const std::string& primary, const proto::LogPoint& token,
               bool has_token, milliseconds tolerated_age);

    /// Time from `now` until `server` is expected to hold `token`, if it keeps
    /// its distance from the primary; empty when nothing is known of it.
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

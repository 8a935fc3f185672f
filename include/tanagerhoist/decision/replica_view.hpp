#ifndef TANAGERHOIST_DECISION_REPLICA_VIEW_HPP
#define TANAGERHOIST_DECISION_REPLICA_VIEW_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// How reads choose among replicas.
struct replica_view_options
{
    /// A server that failed is tried last for so long.
    milliseconds avoid_failed{500};
};

/// What this VM last saw of each server's log, and the choice of servers for a
/// read. It is a belief only: the answer's own point is checked by
/// `acceptable()` before it goes out, so a stale belief costs a retry.
class replica_view
{
public:
    explicit replica_view(replica_view_options options = {});

    /// Notes a server's log point and age, as its answer told them at `now`.
    void observed(moment now, const std::string& server,
                  const proto::LogPoint& point, microseconds age);

    /// Notes that a call to `server` failed.
    void failed(moment now, const std::string& server);

    /// Servers to try for a read, best first, each once; the primary is last
    /// unless it is the only one that may serve. Replicas that share the best
    /// rank take turns.
    std::vector<std::string>
    candidates(moment now, const std::vector<std::string>& servers,
               const std::string& primary, const proto::LogPoint& token,
               bool has_token, milliseconds tolerated_age) const;

private:
    struct observation
    {
        proto::LogPoint point;
        microseconds age{0};
        moment seen;
        moment avoid_until;
        bool known = false;
    };

    replica_view_options options_;
    std::map<std::string, observation> servers_;
    mutable std::uint64_t turn_ = 0;
};

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_DECISION_FAIR_QUEUE_HPP
#define TANAGERHOIST_DECISION_FAIR_QUEUE_HPP

#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/queue_order.hpp"
#include "tanagerhoist/decision/service_rate.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist
{

struct fair_queue_options
{
    queue_order_factory order = make_weighted_fair_order;

    /// Maximum number of waiting requests per workspace and lane.
    std::size_t workspace_capacity = 256;

    /// Maximum number of emergencies served in a row while other requests wait.
    std::uint64_t max_consecutive_emergencies = 3;
};

/// Queue of the requests that wait for one database.
///
/// Emergencies have a lane of their own with priority. While other requests
/// wait, one of them is served after every `max_consecutive_emergencies`. Every
/// accepted request is removed exactly once: by `pop`, `erase` or `expire`.
class fair_queue
{
public:
    explicit fair_queue(fair_queue_options options = {});

    /// Adds a request.
    /// @return ok; queue_full if its workspace has too many requests waiting;
    ///   deadline_too_short if the deadline has passed, or if at the measured
    ///   service rate it would be answered after its deadline. A request with
    ///   none ahead of it is never rejected because of the rate.
    result_code push(moment now, const queued& request);

    /// Removes the next request to run, skipping those past their deadline.
    /// @return its id; empty if none is left
    std::optional<std::uint64_t> pop(moment now);

    /// Removes a request.
    /// @return whether it was waiting
    bool erase(std::uint64_t id);

    /// Removes the requests whose deadline has passed, earliest first.
    std::vector<std::uint64_t> expire(moment now);

    /// Records that a request returned by `pop` has completed at the database
    /// after `service_time`; updates the measured service rate.
    void finished(moment now, microseconds service_time);

    /// Number of requests in the queue, including expired ones.
    std::size_t size() const { return waiting_.size(); }

    /// Earliest deadline of the requests in the queue; empty if there are none.
    std::optional<moment> next_deadline() const;

private:
    struct lane
    {
        std::unique_ptr<queue_order> order;
        std::map<std::string, std::size_t> per_workspace;
    };

    lane& lane_of(const queued& request) { return lanes_[request.emergency]; }
    bool meets_deadline(moment now, const queued& request) const;
    std::size_t ahead_of(const queued& request) const;
    lane& next_lane();
    /// Updates counts and deadlines after a request left its lane's order.
    void untrack(const queued& request);
    void set_aside_expired(moment now);

    fair_queue_options options_;
    std::array<lane, 2> lanes_; ///< indexed by `queued::emergency`
    std::uint64_t consecutive_emergencies_ = 0;
    std::map<std::uint64_t, queued> waiting_;
    std::set<std::pair<moment, std::uint64_t>> deadlines_; ///< in a lane
    std::set<std::pair<moment, std::uint64_t>> expired_;   ///< in no lane
    service_rate rate_;
};

} // namespace tanagerhoist

#endif

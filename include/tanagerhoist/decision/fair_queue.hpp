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

    /// Requests of one workspace that may wait in one lane.
    std::size_t workspace_capacity = 256;

    /// Emergencies that may go before one other request that waits.
    std::uint64_t max_consecutive_emergencies = 3;
};

/// Requests that wait for one database.
///
/// Emergencies have a lane of their own that goes first, but while others wait
/// these get one turn after every `max_consecutive_emergencies`. Every request
/// that was pushed leaves exactly once: by `pop`, `erase` or `expire`.
class fair_queue
{
public:
    explicit fair_queue(fair_queue_options options = {});

    /// Adds a request.
    /// @return ok; queue_full if its workspace has too many waiting;
    ///   deadline_too_short if the deadline has passed, or if by the measured
    ///   service rate the requests ahead of it take longer than it has.
    ///   A request with none ahead of it is never refused for the rate.
    result_code push(moment now, const queued& request);

    /// Takes out the next request to run. Never one whose deadline has passed.
    std::optional<std::uint64_t> pop(moment now);

    /// Takes out a request.
    /// @return whether it was waiting
    bool erase(std::uint64_t id);

    /// Takes out the requests whose deadline has passed, earliest first.
    std::vector<std::uint64_t> expire(moment now);

    /// Tells that a request taken out by `pop` no longer occupies the
    /// database, after `service_time`. Feeds the measured service rate.
    void finished(moment now, microseconds service_time);

    /// Requests that have not left.
    std::size_t size() const { return waiting_.size(); }

    /// Earliest deadline of those waiting; empty if none waits.
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
    /// Takes a request that its lane's order no longer holds off the books.
    void untrack(const queued& request);
    void set_aside_expired(moment now);

    fair_queue_options options_;
    std::array<lane, 2> lanes_; ///< others, emergencies
    std::uint64_t consecutive_emergencies_ = 0;
    std::map<std::uint64_t, queued> waiting_;
    std::set<std::pair<moment, std::uint64_t>> deadlines_; ///< in a lane
    std::set<std::pair<moment, std::uint64_t>> expired_;   ///< in no lane
    service_rate rate_;
};

} // namespace tanagerhoist

#endif

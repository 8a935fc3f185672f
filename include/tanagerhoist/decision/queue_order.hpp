#ifndef TANAGERHOIST_DECISION_QUEUE_ORDER_HPP
#define TANAGERHOIST_DECISION_QUEUE_ORDER_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace tanagerhoist
{

/// A request in the queue of a database.
struct queued
{
    std::uint64_t id = 0; ///< unique among the waiting requests
    std::string workspace;
    std::uint64_t weight = 1; ///< of the workspace; 0 counts as 1
    bool emergency = false;
    moment enqueued;
    moment deadline; ///< the request is not run from then on
};

/// Scheduling policy: decides which waiting request runs next. It holds ids
/// only; `fair_queue` enforces deadlines and capacities. Not thread-safe.
class queue_order
{
public:
    virtual ~queue_order() = default;

    /// Adds a request whose id is not held yet.
    virtual void push(const queued& request) = 0;

    /// Removes the next request to run; empty if none is held.
    virtual std::optional<std::uint64_t> pop() = 0;

    /// Removes a request that is held.
    virtual void erase(const queued& request) = 0;

    /// Number of held requests that would run before `request` if it were
    /// pushed now.
    virtual std::size_t ahead_of(const queued& request) const = 0;

    virtual std::size_t size() const = 0;
};

/// Creates an empty order.
using queue_order_factory = std::unique_ptr<queue_order> (*)();

/// First in, first out, regardless of the workspace.
std::unique_ptr<queue_order> make_fifo_order();

/// Start-time fair queueing: workspaces with waiting requests are served in
/// proportion to their weights, and unused shares are not saved up. Requests of
/// one workspace are served first in, first out.
std::unique_ptr<queue_order> make_start_time_fair_order();

/// Start-time fair queueing with a bounded credit: a workspace that used less
/// than its share may run a few requests early, so that its short bursts
/// precede the backlog of a workspace that exceeds its share. Other workspaces
/// are delayed by no more than that credit.
std::unique_ptr<queue_order> make_weighted_fair_order();

} // namespace tanagerhoist

#endif

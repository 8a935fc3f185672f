#ifndef TANAGERHOIST_DECISION_QUEUE_ORDER_HPP
#define TANAGERHOIST_DECISION_QUEUE_ORDER_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace tanagerhoist
{

/// A request that waits for a database.
struct queued
{
    std::uint64_t id = 0; ///< unique among the requests that wait
    std::string workspace;
    std::uint64_t weight = 1; ///< of the workspace; 0 counts as 1
    bool emergency = false;
    moment enqueued;
    moment deadline; ///< the answer is worthless from here on
};

/// Decides which waiting request runs next. Holds ids only; deadlines and
/// bounds are the queue's. Not thread safe.
class queue_order
{
public:
    virtual ~queue_order() = default;

    /// Adds a request that is not held yet.
    virtual void push(const queued& request) = 0;

    /// Takes out the next request to run; empty if none is held.
    virtual std::optional<std::uint64_t> pop() = 0;

    /// Takes out a request that is held.
    virtual void erase(const queued& request) = 0;

    /// Requests held that would run before `request`, were it pushed now.
    virtual std::size_t ahead_of(const queued& request) const = 0;

    virtual std::size_t size() const = 0;
};

/// Makes an empty order.
using queue_order_factory = std::unique_ptr<queue_order> (*)();

/// First come, first served over all workspaces.
std::unique_ptr<queue_order> make_fifo_order();

/// Start-time fair queueing: workspaces that wait are served in proportion to
/// their weights, and unused shares are not saved up. Within a workspace,
/// first come is first served.
std::unique_ptr<queue_order> make_start_time_fair_order();

/// As above, but a workspace that used less than its share may be ahead by a
/// few requests: its short bursts go before those of one that sends more than
/// its share. It delays any other by no more than these few.
std::unique_ptr<queue_order> make_weighted_fair_order();

} // namespace tanagerhoist

#endif

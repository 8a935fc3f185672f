#include "tanagerhoist/session/workspace_limits.hpp"

#include <algorithm>

// Why operations are not admitted, and when callers should come back.
namespace tanagerhoist
{
namespace
{

// When refused callers are told to come back.
constexpr milliseconds shortest_wait{200};
constexpr milliseconds longest_wait{2000};

/// Time over which callers come back when grants are made again.
constexpr milliseconds return_time{1000};

/// Usual time from the last message of a coordinator to the first grants of the
/// next one: its lease has to end.
constexpr milliseconds coordinator_change_time{3500};

} // namespace

std::string workspace_limits::describe(moment now,
                                       const std::string& workspace) const
{
    const auto it = shares_.find(workspace);
    if (it == shares_.end())
    {
        return "no limits known";
    }
    const auto& share = it->second;
    return "stock " + std::to_string(share.stock) + ", fleet " +
           (share.exhausted ? "exhausted"
            : share.calm    ? "calm"
                            : "busy") +
           ", news " + std::to_string(to_ms(now - last_message_)) +
           " ms old, rate " +
           std::to_string(static_cast<std::uint64_t>(share.fleet.rate)) +
           "/s, asked here " +
           std::to_string(static_cast<std::uint64_t>(share.asked_per_s)) +
           "/s, VMs " + std::to_string(members_);
}

limit_cause workspace_limits::cause(moment now, const allowance& share) const
{
    if (is_coordinator_silent(now))
    {
        return limit_cause::no_coordinator;
    }
    return share.exhausted ? limit_cause::over_rate : limit_cause::no_grant;
}

/// Time until a coordinator can be expected to grant operations.
milliseconds workspace_limits::coordinator_wait(moment now) const
{
    if (last_message_ == moment{})
    {
        return shortest_wait; // this VM has just started
    }
    const auto expected = last_message_ + coordinator_change_time;
    return std::max(shortest_wait,
                    milliseconds(to_ms(expected - std::min(now, expected))));
}

limit_refusal workspace_limits::refusal(moment now,
                                        const std::string& workspace,
                                        double part) const
{
    const auto it = shares_.find(workspace);
    if (it == shares_.end())
    {
        return {limit_cause::over_rate, longest_wait};
    }
    limit_refusal found;
    found.cause = cause(now, it->second);
    const auto base = found.cause == limit_cause::no_coordinator
                          ? coordinator_wait(now)
                      : found.cause == limit_cause::no_grant ? shortest_wait
                                                             : longest_wait / 2;
    const auto spread =
        found.cause == limit_cause::over_rate ? longest_wait : return_time;
    found.retry =
        base + std::chrono::duration_cast<milliseconds>(part * spread);
    // The even share needs no coordinator.
    const auto even =
        it->second.even.time_until_available(now, token_unit, longest_wait);
    if (even < longest_wait)
    {
        found.retry = std::min(found.retry, even);
    }
    return found;
}

} // namespace tanagerhoist

#include "tanagerhoist/session/primary_outlook.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Shortest time from the decision to replace a primary to its successor's
/// first statement.
constexpr milliseconds min_failover{1000};

/// The part of it that follows the wait for the VMs.
constexpr milliseconds min_promotion{500};

/// A failover that has not begun by then is not to be expected soon.
constexpr milliseconds failover_start_timeout{2000};

/// Without a coordinator nobody can begin a failover. It is taken to be gone
/// after several of its messages are missing.
constexpr milliseconds coordinator_silence{1500};

/// Longest pause between two tries to renew the primary lease.
constexpr milliseconds lease_retry{800};

} // namespace

moment earliest_primary(moment now, const primary_outage& outage)
{
    if (!outage.lease_valid)
    {
        return now + lease_retry;
    }
    if (outage.sealed)
    {
        return outage.promotion_waits_until
                   ? std::max(now,
                              *outage.promotion_waits_until + min_promotion)
                   : now;
    }
    if (!outage.failing_since)
    {
        return now;
    }
    const auto failing = now - *outage.failing_since;
    const bool no_coordinator =
        now >= outage.coordinator_heard + coordinator_silence;
    const bool not_expected = failing >= failover_start_timeout ||
                              (no_coordinator && failing >= min_promotion);
    return not_expected ? now + min_failover : now;
}

} // namespace tanagerhoist

#ifndef TANAGERHOIST_SESSION_PRIMARY_OUTLOOK_HPP
#define TANAGERHOIST_SESSION_PRIMARY_OUTLOOK_HPP

#include "tanagerhoist/core/time.hpp"

#include <optional>
#include <string_view>

namespace tanagerhoist
{

/// What a VM knows about a group whose primary it can't use now.
struct primary_outage
{
    bool lead_known = true;  ///< of the group
    bool lease_valid = true; ///< of this VM, on using primaries
    bool sealed = false;     ///< a failover is running
    bool evacuated = false;  ///< closed, since its data centre is evacuated

    /// If sealed: until when the failover waits for VMs that don't answer, as
    /// the coordinator estimates it.
    std::optional<moment> promotion_waits_until;

    /// If not sealed: since when the primary has not answered, or is closed.
    std::optional<moment> failing_since;

    moment coordinator_heard{}; ///< last message from the coordinator
};

/// Estimates when the primary can be used again. A statement that expires
/// earlier is rejected at once, so that its client can decide what to do
/// instead of waiting in vain.
/// @return `now` if nothing rules out that it can be used soon
moment earliest_primary(moment now, const primary_outage& outage);

/// Why a VM can't use a group's primary.
enum class outage_cause
{
    none,                    ///< nothing that is known rules its use out
    lead_unknown,            ///< this VM has not learnt who leads the group
    lease_lapsed,            ///< this VM's, on using primaries
    no_coordinator,          ///< that would begin or end a failover
    failover_waits_for_vms,  ///< for silent ones, until their leases end
    failover_running,        ///< and has no silent VM to wait for, or no longer
    evacuated_and_not_moved, ///< closed, and no failover has begun
    unreachable_and_not_replaced ///< and no failover has begun
};

outage_cause cause_of(moment now, const primary_outage& outage);

/// Text for clients and log lines, and the name in the counters of refusals.
/// Both are empty for `none`.
std::string_view text_of(outage_cause cause);
std::string_view counter_of(outage_cause cause);

} // namespace tanagerhoist

#endif

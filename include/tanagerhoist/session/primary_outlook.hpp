#ifndef TANAGERHOIST_SESSION_PRIMARY_OUTLOOK_HPP
#define TANAGERHOIST_SESSION_PRIMARY_OUTLOOK_HPP

#include "tanagerhoist/core/time.hpp"

#include <optional>

namespace tanagerhoist
{

/// What a VM knows about a group whose primary it can't use now.
struct primary_outage
{
    bool lease_valid = true; ///< of this VM, on using primaries
    bool sealed = false;     ///< a failover is running

    /// If sealed: until when the failover waits for VMs that don't answer, as
    /// the coordinator estimates it.
    std::optional<moment> promotion_waits_until;

    /// If not sealed: since when the primary has not answered.
    std::optional<moment> failing_since;

    moment coordinator_heard{}; ///< last message from the coordinator
};

/// Estimates when the primary can be used again. A statement that expires
/// earlier is rejected at once, so that its client can decide what to do
/// instead of waiting in vain.
/// @return `now` if nothing rules out that it can be used soon
moment earliest_primary(moment now, const primary_outage& outage);

} // namespace tanagerhoist

#endif

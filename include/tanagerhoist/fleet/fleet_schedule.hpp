#ifndef TANAGERHOIST_FLEET_FLEET_SCHEDULE_HPP
#define TANAGERHOIST_FLEET_FLEET_SCHEDULE_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/fleet_coordinator.hpp"

#include <cstddef>
#include <cstdint>

namespace tanagerhoist
{

/// Interval of lease renewals without contact to the coordinator. A renewal
/// also detects changed leads.
constexpr milliseconds renewal_without_coordinator{1000};

/// Whether a VM should renew its primary lease.
/// @param renewed when it did so last
/// @param last_contact when the coordinator was last heard from
/// @param members number of VMs
bool is_renewal_due(moment now, moment renewed, moment last_contact,
                    std::size_t members);

/// How long a VM leaves an expired coordinator lease to others, which are
/// larger or have known the fleet for longer.
/// @param cpu_percent processor share of the VM
milliseconds takeover_delay(const fleet_members& members,
                            std::uint64_t cpu_percent, bool is_holder_known);

/// Whether a VM should read the members, to know which one is the largest and
/// takes the lease first.
/// @param last_contact when the coordinator was last heard from
bool is_takeover_read_due(moment now, moment last_contact, bool registered,
                          bool is_holder_known);

/// Interval from the beginning of an update of the coordinator lease to the
/// next one.
/// @param registered whether this VM may take the lease
/// @param done whether the last update needs no repeat
/// @param spread random part, so that VMs do not read the lease row together
milliseconds lease_update_interval(bool registered, bool done, bool holds,
                                   milliseconds spread);

/// Whether the coordinator should read the members again to find VMs whose
/// lease has expired.
bool is_removal_read_due(moment now, moment requested);

/// Whether a failover that waits for VMs should read the members again.
/// @param requested when they were last asked for
/// @param read when the newest answer was asked for
/// @param sealed when the primary was sealed
bool is_seal_read_due(moment now, moment requested, moment read, moment sealed);

/// Whether the coordinator's watch of the settings works, so that other VMs
/// need none of their own.
/// @param answered when the store last answered it
bool is_watch_working(moment now, moment answered);

/// Time for a VM's own watch to deliver changes that the coordinator has seen,
/// before the VM reads the store again.
constexpr milliseconds watch_grace_time{600};

/// VMs that may fetch settings from a VM at a time: the link of a VM is about
/// in proportion to its processor.
/// @param cpu_percent processor share of the VM
std::size_t settings_fetches(std::uint64_t cpu_percent);

/// For how long a VM has to lack settings that the coordinator has before it
/// reads them itself.
struct settings_grace_times
{
    milliseconds store;       ///< before it reads the store
    milliseconds coordinator; ///< before it fetches them from the coordinator
};

/// @param follows_coordinator whether it has no watch of its own and is told
///   when to fetch them, for which its turn may come late
settings_grace_times settings_grace(bool follows_coordinator);

} // namespace tanagerhoist

#endif

#include "tanagerhoist/fleet/fleet_schedule.hpp"

#include "tanagerhoist/fleet/coordinator_lease.hpp"
#include "tanagerhoist/session/primary_lease.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

constexpr milliseconds removal_interval{5000};
constexpr milliseconds seal_read_interval{500};
constexpr milliseconds smaller_vm_delay{900}; // of all but the largest VM
constexpr milliseconds startup_delay{600};    // lets all VMs register first
constexpr milliseconds lease_retry{100};

/// A fleet that starts anew waits for its coordinator.
constexpr milliseconds registration_check{20};
constexpr milliseconds lease_check_interval{300};

/// A little longer than one watch call of the coordinator.
constexpr milliseconds watch_answer_validity{1500};

constexpr std::uint64_t cpu_percent_per_fetch = 6;

constexpr milliseconds refresh_grace_time{1100};
constexpr milliseconds turn_grace_time{2000};
constexpr milliseconds turn_refresh_grace_time{2500};

} // namespace

bool is_renewal_due(moment now, moment renewed, moment last_contact,
                    std::size_t members)
{
    const auto interval = members < large_fleet ? primary_lease_renewal
                                                : large_fleet_lease_renewal;
    const bool alone = now >= last_contact + coordinator_timeout;
    return now >= renewed + interval ||
           (alone && now >= renewed + renewal_without_coordinator);
}

milliseconds takeover_delay(const fleet_members& members,
                            std::uint64_t cpu_percent, bool is_holder_known)
{
    const bool largest =
        std::all_of(members.rows.begin(), members.rows.end(),
                    [cpu_percent](const auto& entry)
                    { return entry.second.row.cpu_percent() <= cpu_percent; });
    return (largest ? milliseconds(0) : smaller_vm_delay) +
           (is_holder_known ? milliseconds(0) : startup_delay);
}

bool is_takeover_read_due(moment now, moment last_contact, bool registered,
                          bool is_holder_known)
{
    return registered && !is_holder_known &&
           now >= last_contact + coordinator_timeout;
}

milliseconds lease_update_interval(bool registered, bool done, bool holds,
                                   milliseconds spread)
{
    if (!registered)
    {
        return registration_check;
    }
    if (!done)
    {
        return lease_retry;
    }
    return holds ? coordinator_lease_renewal : lease_check_interval + spread;
}

bool is_removal_read_due(moment now, moment requested)
{
    return now >= requested + removal_interval;
}

bool is_seal_read_due(moment now, moment requested, moment read, moment sealed)
{
    const auto interval =
        read < sealed ? seal_read_interval / 4 : seal_read_interval;
    return requested < sealed || now >= requested + interval;
}

bool is_watch_working(moment now, moment answered)
{
    return now < answered + watch_answer_validity;
}

std::size_t settings_fetches(std::uint64_t cpu_percent)
{
    return 1 + cpu_percent / cpu_percent_per_fetch;
}

settings_grace_times settings_grace(bool follows_coordinator)
{
    return follows_coordinator
               ? settings_grace_times{turn_grace_time, turn_refresh_grace_time}
               : settings_grace_times{watch_grace_time, refresh_grace_time};
}

} // namespace tanagerhoist

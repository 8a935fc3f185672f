#include "tanagerhoist/session/primary_outlook.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

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

bool lacks_coordinator(moment now, const primary_outage& outage)
{
    return now >= outage.coordinator_heard + coordinator_silence;
}

struct cause_words
{
    std::string_view text;
    std::string_view counter;
};

/// In the order of `outage_cause`.
constexpr std::array<cause_words, 8> words{
    {{"", ""},
     {"this VM knows no lead of the group", "no_primary_lead_unknown"},
     {"this VM's primary lease has lapsed", "no_primary_lease_lapsed"},
     {"no coordinator replaces it", "no_primary_no_coordinator"},
     {"the failover waits for silent VMs", "no_primary_waits_for_vms"},
     {"a failover is running", "no_primary_failover_running"},
     {"it is evacuated and not moved yet", "no_primary_evacuated"},
     {"it is unreachable and not replaced yet", "no_primary_unreachable"}}};

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
    const bool not_expected =
        failing >= failover_start_timeout ||
        (lacks_coordinator(now, outage) && failing >= min_promotion);
    return not_expected ? now + min_failover : now;
}

outage_cause cause_of(moment now, const primary_outage& outage)
{
    if (!outage.lead_known)
    {
        return outage_cause::lead_unknown;
    }
    if (!outage.lease_valid)
    {
        return outage_cause::lease_lapsed;
    }
    if (!outage.sealed && !outage.failing_since)
    {
        return outage_cause::none;
    }
    if (lacks_coordinator(now, outage))
    {
        return outage_cause::no_coordinator;
    }
    if (outage.sealed)
    {
        const bool waits =
            outage.promotion_waits_until && now < *outage.promotion_waits_until;
        return waits ? outage_cause::failover_waits_for_vms
                     : outage_cause::failover_running;
    }
    return outage.evacuated ? outage_cause::evacuated_and_not_moved
                            : outage_cause::unreachable_and_not_replaced;
}

std::string_view text_of(outage_cause cause)
{
    return words.at(static_cast<std::size_t>(cause)).text;
}

std::string_view counter_of(outage_cause cause)
{
    return words.at(static_cast<std::size_t>(cause)).counter;
}

} // namespace tanagerhoist

#ifndef TANAGERHOIST_SESSION_PRIMARY_LEASE_HPP
#define TANAGERHOIST_SESSION_PRIMARY_LEASE_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstddef>

namespace tanagerhoist
{

/// Validity of the lease after its last renewal. Before a primary is replaced,
/// the coordinator waits this long plus `primary_lease_margin` for a VM that
/// does not answer.
constexpr milliseconds primary_lease_duration{13000};

/// Allowance for clock drift between VMs.
constexpr milliseconds primary_lease_margin{500};

/// Renewal intervals in a small and in a large fleet.
constexpr milliseconds primary_lease_renewal{4000};
constexpr milliseconds large_fleet_lease_renewal{6000};
constexpr std::size_t large_fleet = 24; ///< VMs

/// A VM's lease on using the primaries it knows. It is renewed by a conditional
/// write to the store, which fails if any group's primary has changed. The
/// lease runs from the time in the written row and expires by itself.
class primary_lease
{
public:
    /// Renews the lease after a successful conditional write.
    /// @param dated when the time in the written row was taken
    void renew(moment dated)
    {
        if (!ended_ && (!renewed_ || dated > last_renewal_))
        {
            renewed_ = true;
            last_renewal_ = dated;
        }
    }

    /// Ends the lease for good, also if a renewal is on its way.
    void end() { ended_ = true; }

    bool is_valid(moment now) const
    {
        return renewed_ && !ended_ &&
               now < last_renewal_ + primary_lease_duration;
    }

    /// Time since the last renewal, by the time in its row.
    microseconds age(moment now) const { return now - last_renewal_; }

private:
    bool renewed_ = false;
    bool ended_ = false;
    moment last_renewal_{};
};

} // namespace tanagerhoist

#endif

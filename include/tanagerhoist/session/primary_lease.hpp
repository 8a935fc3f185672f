#ifndef TANAGERHOIST_SESSION_PRIMARY_LEASE_HPP
#define TANAGERHOIST_SESSION_PRIMARY_LEASE_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstddef>

namespace tanagerhoist
{

/// Longest use of primaries after the last proof. Whoever replaces a primary
/// waits this long, and `primary_lease_margin` more, for a VM that does not
/// answer.
constexpr milliseconds primary_lease_duration{13000};

/// Covers the drift of clocks.
constexpr milliseconds primary_lease_margin{500};

/// How often a VM renews its right, in a small and in a large fleet.
constexpr milliseconds primary_lease_renewal{4000};
constexpr milliseconds large_fleet_lease_renewal{6000};
constexpr std::size_t large_fleet = 24; ///< VMs

/// A VM's lease on using the primaries that it believes in. It is renewed by
/// a write to the store that fails if a lead has changed, counted from the
/// time when the write was sent, and ends by itself.
class primary_lease
{
public:
    /// A write sent at `sent` was done: no lead had changed.
    void renew(moment sent)
    {
        if (!renewed_ || sent > last_renewal_)
        {
            renewed_ = true;
            last_renewal_ = sent;
        }
    }

    bool is_valid(moment now) const
    {
        return renewed_ && now < last_renewal_ + primary_lease_duration;
    }

    /// Time since the last proof was sent for.
    microseconds age(moment now) const { return now - last_renewal_; }

private:
    bool renewed_ = false;
    moment last_renewal_{};
};

} // namespace tanagerhoist

#endif

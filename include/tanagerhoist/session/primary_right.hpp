#ifndef TANAGERHOIST_SESSION_PRIMARY_RIGHT_HPP
#define TANAGERHOIST_SESSION_PRIMARY_RIGHT_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstddef>

namespace tanagerhoist
{

/// Longest use of primaries after the last proof. Whoever replaces a primary
/// waits this long, and `right_slack` more, for a VM that does not answer.
constexpr milliseconds right_duration{13000};

/// Covers the drift of clocks.
constexpr milliseconds right_slack{500};

/// How often a VM renews its right, in a small and in a large fleet.
constexpr milliseconds right_renewal{4000};
constexpr milliseconds large_fleet_renewal{6000};
constexpr std::size_t large_fleet = 24; ///< VMs

/// A VM's lease on using the primaries that it believes in. It is renewed by
/// a write to the store that fails if a lead has changed, counted from the
/// time when the write was sent, and ends by itself.
class primary_right
{
public:
    /// A write sent at `sent` was done: no lead had changed.
    void prove(moment sent)
    {
        if (!proven_ || sent > last_)
        {
            proven_ = true;
            last_ = sent;
        }
    }

    bool holds(moment now) const
    {
        return proven_ && now < last_ + right_duration;
    }

    /// Time since the last proof was sent for.
    microseconds age(moment now) const { return now - last_; }

private:
    bool proven_ = false;
    moment last_{};
};

} // namespace tanagerhoist

#endif

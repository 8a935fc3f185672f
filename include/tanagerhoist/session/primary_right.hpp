#ifndef TANAGERHOIST_SESSION_PRIMARY_RIGHT_HPP
#define TANAGERHOIST_SESSION_PRIMARY_RIGHT_HPP

#include "tanagerhoist/core/time.hpp"

namespace tanagerhoist
{

/// Longest use of primaries after the last proof. Whoever replaces a primary
/// waits this long, and `right_slack` more, for a VM that does not answer.
constexpr milliseconds right_duration{20000};

/// Covers the drift of clocks.
constexpr milliseconds right_slack{500};

/// How often a VM renews its right.
constexpr milliseconds right_renewal{7000};

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

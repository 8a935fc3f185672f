#ifndef TANAGERHOIST_SESSION_PRIMARY_RIGHT_HPP
#define TANAGERHOIST_SESSION_PRIMARY_RIGHT_HPP

#include "tanagerhoist/core/time.hpp"

namespace tanagerhoist
{

/// Longest use of primaries after the last proof. Whoever replaces a primary
/// waits this long, and `right_slack` more, for a VM that does not answer.
constexpr milliseconds right_duration{12000};

/// Covers the age of a watch's answer and the drift of clocks.
constexpr milliseconds right_slack{1500};

/// A VM's lease on using the primaries that it believes in. It is renewed by
/// each answer of the store that would have told of a change, counted from the
/// time when the call was sent, and ends by itself.
class primary_right
{
public:
    /// A call sent at `sent` was answered without news of a change that this
    /// VM has not taken in.
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

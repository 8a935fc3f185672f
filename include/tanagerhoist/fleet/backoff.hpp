#ifndef TANAGERHOIST_FLEET_BACKOFF_HPP
#define TANAGERHOIST_FLEET_BACKOFF_HPP

#include "tanagerhoist/core/time.hpp"

#include <algorithm>

namespace tanagerhoist
{

/// Pauses between the tries of a call that keeps failing. Each is twice as long
/// as the one before, up to a limit.
class backoff
{
public:
    backoff(milliseconds first, milliseconds longest)
        : first_(first), longest_(longest), next_(first)
    {
    }

    /// @return the pause before the next try
    milliseconds next()
    {
        const auto pause = next_;
        next_ = std::min(next_ * 2, longest_);
        return pause;
    }

    /// Notes a success.
    void reset() { next_ = first_; }

private:
    milliseconds first_;
    milliseconds longest_;
    milliseconds next_;
};

} // namespace tanagerhoist

#endif

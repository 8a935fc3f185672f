#ifndef TANAGERHOIST_CORE_COUNT_RISE_HPP
#define TANAGERHOIST_CORE_COUNT_RISE_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <utility>

namespace tanagerhoist
{

/// By how much a count has risen since it was last logged. Bounds the log lines
/// about it to one a second.
class count_rise
{
public:
    /// Shortest time between two lines.
    static constexpr milliseconds interval{1000};

    /// Takes the rise that is to be logged now.
    /// @return 0 if there is none, or the last one was taken too recently
    std::uint64_t take(moment now, std::uint64_t count)
    {
        if (count == logged_ || now < next_)
        {
            return 0;
        }
        next_ = now + interval;
        return count - std::exchange(logged_, count);
    }

private:
    std::uint64_t logged_ = 0;
    moment next_{};
};

} // namespace tanagerhoist

#endif

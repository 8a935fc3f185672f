#ifndef TANAGERHOIST_DECISION_HYBRID_CLOCK_HPP
#define TANAGERHOIST_DECISION_HYBRID_CLOCK_HPP

#include <algorithm>
#include <cstdint>

namespace tanagerhoist
{

/// Hybrid logical clock: follows the wall clock, yet never runs backwards and
/// always stands after every stamp that it has been shown. Sorting by its
/// stamps puts a message's sending before its receipt however far the clocks
/// of two VMs differ.
///
/// A stamp holds milliseconds of wall time above `logical_bits` bits of count.
class hybrid_clock
{
public:
    /// Takes in the wall clock, in microseconds since its epoch.
    void observe_wall(std::uint64_t wall_us)
    {
        constexpr std::uint64_t us_per_ms = 1000;
        last_ = std::max(last_, (wall_us / us_per_ms) << logical_bits);
    }

    /// Takes in a stamp that came with a message.
    void observe(std::uint64_t stamp) { last_ = std::max(last_, stamp); }

    /// The next stamp, greater than all earlier and all observed ones.
    std::uint64_t tick() { return ++last_; }

    /// Bits that count events within one millisecond.
    static constexpr unsigned logical_bits = 16;

private:
    std::uint64_t last_ = 0;
};

} // namespace tanagerhoist

#endif

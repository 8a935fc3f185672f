#ifndef TANAGERHOIST_DECISION_HYBRID_CLOCK_HPP
#define TANAGERHOIST_DECISION_HYBRID_CLOCK_HPP

#include <algorithm>
#include <cstdint>

namespace tanagerhoist
{

/// Hybrid logical clock: follows the wall clock but is monotonic, and always
/// exceeds every observed timestamp. In timestamp order a message is sent
/// before it is received, whatever the clock skew between two VMs.
///
/// A timestamp holds the wall time in milliseconds, shifted left by
/// `logical_bits`, and a counter in the low bits.
class hybrid_clock
{
public:
    /// Advances to the wall clock, in microseconds since the Unix epoch.
    void observe_wall(std::uint64_t wall_us)
    {
        constexpr std::uint64_t us_per_ms = 1000;
        last_ = std::max(last_, (wall_us / us_per_ms) << logical_bits);
    }

    /// Advances to the timestamp of a received message.
    void observe(std::uint64_t stamp) { last_ = std::max(last_, stamp); }

    /// Returns the next timestamp, greater than all issued and observed ones.
    std::uint64_t tick() { return ++last_; }

    /// Bits of the counter for events within one millisecond.
    static constexpr unsigned logical_bits = 16;

private:
    std::uint64_t last_ = 0;
};

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_ADAPTER_BOOT_CLOCK_HPP
#define TANAGERHOIST_ADAPTER_BOOT_CLOCK_HPP

#include <chrono>

namespace tanagerhoist
{

/// Monotonic clock that keeps counting while the VM is suspended, so that a
/// resumed process can tell how long it was suspended. On Linux the standard
/// steady clock stops during suspension.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

} // namespace tanagerhoist

#endif

#include "tanagerhoist/adapter/boot_clock.hpp"

#include <ctime>

namespace tanagerhoist
{

boot_clock::time_point boot_clock::now() noexcept
{
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return time_point(std::chrono::seconds(t.tv_sec) +
                      std::chrono::nanoseconds(t.tv_nsec));
}

} // namespace tanagerhoist

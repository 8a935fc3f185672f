#ifndef TANAGERHOIST_STANDIN_PROCESS_CLOCK_HPP
#define TANAGERHOIST_STANDIN_PROCESS_CLOCK_HPP

#include "tanagerhoist/core/time.hpp"

#include <chrono>

namespace tanagerhoist::standin
{

/// Monotonic clock that starts at 0 when it is constructed.
class process_clock
{
public:
    moment now() const
    {
        return moment(std::chrono::duration_cast<microseconds>(
            std::chrono::steady_clock::now() - start_));
    }

private:
    std::chrono::steady_clock::time_point start_ =
        std::chrono::steady_clock::now();
};

} // namespace tanagerhoist::standin

#endif

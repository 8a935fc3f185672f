#ifndef TANAGERHOIST_CORE_TIME_HPP
#define TANAGERHOIST_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace tanagerhoist
{

using microseconds = std::chrono::microseconds;
using milliseconds = std::chrono::milliseconds;

/// Clock of the decision layer. It has no `now()`: each input carries its time,
/// measured on the process's monotonic clock from the start of the process.
struct decision_clock
{
    using duration = microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true;
};

/// A time point on the monotonic clock of one process. Time points of different
/// processes are not comparable.
using moment = decision_clock::time_point;

/// Time point `us` microseconds after the start of the process.
inline moment moment_from(std::uint64_t us)
{
    return moment(microseconds(static_cast<microseconds::rep>(us)));
}

/// Microseconds from the start of the process to `at`.
inline std::uint64_t to_us(moment at)
{
    return static_cast<std::uint64_t>(at.time_since_epoch().count());
}

/// `d` rounded towards zero to milliseconds, the unit used in messages; a
/// negative duration gives 0.
inline std::uint64_t to_ms(microseconds d)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(d).count();
    return ms > 0 ? static_cast<std::uint64_t>(ms) : 0;
}

} // namespace tanagerhoist

#endif

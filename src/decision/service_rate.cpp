#include "tanagerhoist/decision/service_rate.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Completions before there is an estimate.
constexpr std::uint64_t samples_needed = 16;

/// A sample moves an estimate by one part in so many.
constexpr std::int64_t smoothing = 16;

/// A sample counts as at most so many times the estimate.
constexpr std::int64_t outlier_factor = 8;

std::int64_t nanoseconds(microseconds d)
{
    return std::chrono::nanoseconds(d).count();
}

} // namespace

void service_rate::completed(moment now, microseconds service_time)
{
    if (last_)
    {
        const std::int64_t interval = nanoseconds(now - *last_);
        const std::int64_t service = nanoseconds(service_time);
        if (samples_ == 0)
        {
            interval_ns_ = interval;
            service_ns_ = service;
        }
        else if (backlogged_ || interval < interval_ns_)
        {
            const std::int64_t most =
                std::max<std::int64_t>(interval_ns_, 1'000) * outlier_factor;
            interval_ns_ +=
                (std::min(interval, most) - interval_ns_) / smoothing;
        }
        service_ns_ += (service - service_ns_) / smoothing;
        ++samples_;
    }
    last_ = now;
    backlogged_ = true;
}

std::optional<microseconds> service_rate::answer_after(std::size_t ahead) const
{
    if (samples_ < samples_needed)
    {
        return std::nullopt;
    }
    const auto wait = std::chrono::nanoseconds(
        static_cast<std::int64_t>(ahead) * interval_ns_);
    return std::chrono::duration_cast<microseconds>(
        wait + std::chrono::nanoseconds(service_ns_));
}

} // namespace tanagerhoist

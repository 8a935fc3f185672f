#include "tanagerhoist/decision/service_rate.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Samples required before there is an estimate.
constexpr std::uint64_t min_samples = 16;

/// Weight of a new sample in the moving average, as a divisor.
constexpr std::int64_t smoothing = 16;

/// Samples are capped at this multiple of the estimate.
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
        observe(nanoseconds(now - *last_), nanoseconds(service_time));
    }
    last_ = now;
    backlogged_ = true;
}

void service_rate::observe(std::int64_t interval, std::int64_t service)
{
    // An interval in which the queue ran empty includes idle time, so it only
    // gives an upper bound.
    const bool is_informative =
        backlogged_ || (samples_ != 0 && interval < interval_ns_);
    if (samples_ == 0 && is_informative)
    {
        interval_ns_ = interval;
        service_ns_ = service;
    }
    else if (is_informative)
    {
        const std::int64_t most =
            std::max<std::int64_t>(interval_ns_, 1'000) * outlier_factor;
        interval_ns_ += (std::min(interval, most) - interval_ns_) / smoothing;
    }
    service_ns_ += (service - service_ns_) / smoothing;
    samples_ += is_informative ? 1 : 0;
}

std::optional<microseconds>
service_rate::estimated_answer_time(std::size_t ahead) const
{
    if (samples_ < min_samples)
    {
        return std::nullopt;
    }
    const auto wait = std::chrono::nanoseconds(
        static_cast<std::int64_t>(ahead) * interval_ns_);
    return std::chrono::duration_cast<microseconds>(
        wait + std::chrono::nanoseconds(service_ns_));
}

} // namespace tanagerhoist

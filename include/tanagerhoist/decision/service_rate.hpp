#ifndef TANAGERHOIST_DECISION_SERVICE_RATE_HPP
#define TANAGERHOIST_DECISION_SERVICE_RATE_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace tanagerhoist
{

/// Estimates the service rate of a queue from the intervals between
/// completions, as an exponentially weighted moving average.
///
/// The estimate is biased towards fast service, so that few requests are
/// rejected wrongly: there is none without enough samples, an interval in which
/// the queue ran empty counts only if it is shorter than the estimate, and a
/// single long stall is capped as an outlier.
class service_rate
{
public:
    /// Records that a request completed after `service_time`.
    void completed(moment now, microseconds service_time);

    /// Records that the queue ran empty: the interval to the next completion
    /// then includes idle time and doesn't measure the service rate.
    void ran_empty() { backlogged_ = false; }

    /// Estimated time until a request with `ahead` others before it is
    /// answered; empty until there are enough samples.
    std::optional<microseconds> estimated_answer_time(std::size_t ahead) const;

private:
    void observe(std::int64_t interval_ns, std::int64_t service_ns);

    std::uint64_t samples_ = 0;
    bool backlogged_ = false;
    std::optional<moment> last_;
    std::int64_t interval_ns_ = 0;
    std::int64_t service_ns_ = 0;
};

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_DECISION_SERVICE_RATE_HPP
#define TANAGERHOIST_DECISION_SERVICE_RATE_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace tanagerhoist
{

/// Measures how fast a queue is served, from the times between completions.
///
/// The estimate errs towards fast: without enough samples there is none, an
/// interval in which the queue ran empty counts only if it is shorter than the
/// estimate, and one long stall moves it little.
class service_rate
{
public:
    /// Tells that a request completed after `service_time`.
    void completed(moment now, microseconds service_time);

    /// Tells that the queue has run empty: the time to the next completion no
    /// longer shows how fast the queue can be served.
    void ran_empty() { backlogged_ = false; }

    /// Time until a request with `ahead` others before it is answered.
    /// Empty while too little has been measured.
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

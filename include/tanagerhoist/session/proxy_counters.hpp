#ifndef TANAGERHOIST_SESSION_PROXY_COUNTERS_HPP
#define TANAGERHOIST_SESSION_PROXY_COUNTERS_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/answer_history.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace tanagerhoist
{

/// Latency histogram with bucket bounds doubling from 1 ms.
class latency_histogram
{
public:
    static constexpr std::size_t buckets = 14;

    void add(microseconds took)
    {
        std::size_t bucket = 0;
        while (bucket + 1 < buckets && took > bound(bucket))
        {
            ++bucket;
        }
        ++counts_.at(bucket);
        sum_ += took;
    }

    /// Inclusive upper bound of a bucket; the last bucket is unbounded.
    static milliseconds bound(std::size_t bucket)
    {
        return milliseconds(std::int64_t{1} << bucket);
    }

    std::uint64_t count(std::size_t bucket) const { return counts_.at(bucket); }
    microseconds sum() const { return sum_; }

private:
    std::array<std::uint64_t, buckets> counts_{};
    microseconds sum_{0};
};

/// Counters of a proxy since its start.
struct proxy_counters
{
    /// Latency of answers by read consistency and outcome.
    std::map<std::pair<std::string, std::string>, latency_histogram> answers;
    std::map<std::string, std::uint64_t> refusals; ///< by cause
    /// Answers of servers that were not taken, by `answer_fault`.
    std::array<std::uint64_t, answer_faults> faults{};
    std::uint64_t connections_opened = 0;
    std::uint64_t retries = 0;
    std::uint64_t second_tries =
        0; ///< reads given up at one server for another
    std::uint64_t sessions_started = 0;
    std::uint64_t warmup_requests = 0; ///< sent to servers in their warm-up
    std::uint64_t warmup_refusals = 0; ///< not sent there for want of a permit
    std::size_t servers_warming = 0;   ///< whose rate is limited now
};

} // namespace tanagerhoist

#endif

#include "tanagerhoist/session/answer_times.hpp"

#include <cmath>

namespace tanagerhoist
{
namespace
{

/// Answers that must be known before quantiles are told.
constexpr double least_known = 20;

/// Weights are scaled down before they grow out of range.
constexpr double largest_weight = 1e4;

} // namespace

void answer_times::add(microseconds took)
{
    std::size_t bucket = 0;
    double bound = first_bound_us;
    while (bucket + 1 < buckets && static_cast<double>(took.count()) > bound)
    {
        ++bucket;
        bound *= growth;
    }
    counts_.at(bucket) += static_cast<float>(weight_);
    sum_ += weight_;
    weight_ *= std::exp2(1 / half_life);
    if (weight_ > largest_weight)
    {
        for (auto& count : counts_)
        {
            count /= static_cast<float>(weight_);
        }
        sum_ /= weight_;
        weight_ = 1;
    }
}

std::optional<microseconds> answer_times::quantile(double part) const
{
    if (sum_ < least_known * weight_)
    {
        return std::nullopt;
    }
    double below = 0;
    double bound = first_bound_us;
    for (std::size_t bucket = 0; bucket + 1 < buckets; ++bucket)
    {
        below += static_cast<double>(counts_.at(bucket));
        if (below >= part * sum_)
        {
            break;
        }
        bound *= growth;
    }
    return microseconds(static_cast<microseconds::rep>(bound));
}

} // namespace tanagerhoist

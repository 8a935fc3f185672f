#include "tanagerhoist/session/position_history.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

constexpr milliseconds spacing{20};          // between stored samples
constexpr milliseconds max_sample_age{5000}; // no read accepts older samples

} // namespace

void position_history::add(const position_sample& sample)
{
    if (!samples_.empty() && sample.covers <= samples_.back().covers)
    {
        return; // the answer to a later call arrived first
    }
    if (samples_.size() > 1 &&
        sample.covers - samples_[samples_.size() - 2].covers < spacing)
    {
        samples_.pop_back();
    }
    auto kept = sample;
    if (!samples_.empty())
    {
        kept.position = std::max(kept.position, samples_.back().position);
    }
    samples_.push_back(kept);
    while (samples_.front().covers + max_sample_age < sample.covers)
    {
        samples_.pop_front();
    }
}

std::optional<log_position>
position_history::position_covering(moment oldest) const
{
    const auto it =
        std::lower_bound(samples_.begin(), samples_.end(), oldest,
                         [](const position_sample& sample, moment time)
                         { return sample.covers < time; });
    if (it == samples_.end())
    {
        return std::nullopt;
    }
    return it->position;
}

std::optional<position_sample> position_history::newest() const
{
    if (samples_.empty())
    {
        return std::nullopt;
    }
    return samples_.back();
}

} // namespace tanagerhoist

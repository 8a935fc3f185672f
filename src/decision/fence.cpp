#include "tanagerhoist/decision/fence.hpp"

namespace tanagerhoist
{

fence::fence(fence_options options) : options_(options) {}

void fence::on_tick(moment now, moment last_platform_contact,
                    bool majority_heard)
{
    if (last_tick_ && now - *last_tick_ > options_.max_tick_gap)
    {
        resumed_ = now;
    }
    last_tick_ = now;
    last_platform_contact_ = last_platform_contact;
    majority_heard_ = majority_heard;
}

bool fence::may_serve(moment now) const
{
    return last_tick_ && now - *last_tick_ <= options_.max_tick_gap &&
           (platform_counts(now) || peers_count(now));
}

bool fence::platform_counts(moment now) const
{
    return last_platform_contact_ != moment() &&
           now - last_platform_contact_ <= options_.window &&
           (!resumed_ || last_platform_contact_ >= *resumed_);
}

bool fence::peers_count(moment now) const
{
    return majority_heard_ && (!resumed_ || now - *resumed_ > options_.window);
}

} // namespace tanagerhoist

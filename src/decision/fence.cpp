#include "tanagerhoist/decision/fence.hpp"

namespace tanagerhoist
{

fence::fence(fence_options options) : options_(options) {}

void fence::on_tick(moment now, moment last_platform_contact,
                    bool majority_heard)
{
    if (last_tick_ && now - *last_tick_ > options_.max_tick_gap)
    {
        last_freeze_end_ = now;
    }
    last_tick_ = now;
    last_platform_contact_ = last_platform_contact;
    majority_heard_ = majority_heard;
}

bool fence::may_serve(moment now) const
{
    return last_tick_ && now - *last_tick_ <= options_.max_tick_gap &&
           (platform_contact_is_fresh(now) || majority_is_fresh(now));
}

bool fence::platform_contact_is_fresh(moment now) const
{
    return last_platform_contact_ != moment() &&
           now - last_platform_contact_ <= options_.window &&
           (!last_freeze_end_ || last_platform_contact_ >= *last_freeze_end_);
}

bool fence::majority_is_fresh(moment now) const
{
    return majority_heard_ &&
           (!last_freeze_end_ || now - *last_freeze_end_ > options_.window);
}

} // namespace tanagerhoist

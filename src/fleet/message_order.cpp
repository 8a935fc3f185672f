#include "tanagerhoist/fleet/message_order.hpp"

#include <algorithm>

namespace tanagerhoist
{

bool message_order::accept(std::uint64_t life, std::uint64_t sequence)
{
    if (life == life_)
    {
        const bool newer = sequence > sequence_;
        sequence_ = std::max(sequence_, sequence);
        return newer;
    }
    if (std::find(former_.begin(), former_.end(), life) != former_.end())
    {
        return false;
    }
    if (life_ != 0)
    {
        former_.push_back(life_);
    }
    if (former_.size() > most_former)
    {
        former_.erase(former_.begin());
    }
    life_ = life;
    sequence_ = sequence;
    return true;
}

} // namespace tanagerhoist

#include "tanagerhoist/decision/limiter.hpp"

#include <algorithm>
#include <utility>

// Hints of what a VM can spare, which tell the others whom to ask.
namespace tanagerhoist
{

std::uint64_t limiter::spare_of(const std::string& name,
                                const member& peer) const
{
    const auto found = hints_.find(peer.vm);
    if (found == hints_.end() || found->second.number != peer.number)
    {
        return 0;
    }
    const auto spare = found->second.spare.find(name);
    return spare == found->second.spare.end() ? 0 : spare->second;
}

std::uint64_t limiter::spare(const resource& each) const
{
    const holding has = own_holding(last_tick_, each);
    return each.connections
               ? has.parts - std::min(has.parts, has.needed_parts)
               : has.tokens - std::min(has.tokens, has.needed_tokens);
}

/// An amount of 0 is sent once, so that peers discard the previous hint.
void limiter::add_hint(entry& of, proto::Heartbeat& heartbeat) const
{
    auto& [name, each] = of;
    const std::uint64_t told = std::exchange(each.hinted_spare, spare(each));
    if (told != 0 || each.hinted_spare != 0)
    {
        auto& hint = *heartbeat.add_hint();
        hint.set_resource(name);
        hint.set_spare_tokens(each.hinted_spare);
    }
}

void limiter::hints(proto::Heartbeat& heartbeat)
{
    const std::size_t most = std::min(options_.max_hints, resources_.size());
    std::size_t left = most;
    if (most < resources_.size())
    {
        for (const auto& name : awake_)
        {
            auto& of = *resources_.find(name);
            const std::uint64_t now = spare(of.second);
            const std::uint64_t told = of.second.hinted_spare;
            const bool changed =
                now / 2 > told || told / 2 > now || (now == 0) != (told == 0);
            if (changed && left > most / 2)
            {
                add_hint(of, heartbeat);
                --left;
            }
        }
    }
    for (auto next = resources_.upper_bound(last_hinted_); left != 0; --left)
    {
        next = next == resources_.end() ? resources_.begin() : next;
        last_hinted_ = next->first;
        add_hint(*next, heartbeat);
        ++next;
    }
}

void limiter::on_hints(const proto::Incarnation& from,
                       const proto::Heartbeat& heartbeat)
{
    auto& known = hints_[from.vm()];
    if (known.number != from.number())
    {
        known = {from.number(), {}};
    }
    for (const auto& hint : heartbeat.hint())
    {
        known.spare[hint.resource()] = hint.spare_tokens();
    }
}

} // namespace tanagerhoist

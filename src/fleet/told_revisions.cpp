#include "tanagerhoist/fleet/told_revisions.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Views whose revision is kept; a VM acknowledges one of the last few.
constexpr std::size_t kept_views = 16;

} // namespace

void told_revisions::sent(const std::string& vm, std::uint64_t sequence,
                          std::uint64_t revision)
{
    const auto it = vms_.find(vm);
    if (it == vms_.end())
    {
        return; // it has not reported yet
    }
    auto& sent = it->second.sent;
    sent[sequence] = revision;
    if (sent.size() > kept_views)
    {
        sent.erase(sent.begin());
    }
}

void told_revisions::acknowledged(const std::string& vm, std::uint64_t life,
                                  std::uint64_t sequence)
{
    auto& state = vms_[vm];
    if (state.life != life)
    {
        state = vm_state{};
        state.life = life;
    }
    const auto view = state.sent.find(sequence);
    if (view != state.sent.end())
    {
        state.known = std::max(state.known, view->second);
    }
}

std::uint64_t told_revisions::known(const std::string& vm) const
{
    const auto it = vms_.find(vm);
    return it == vms_.end() ? 0 : it->second.known;
}

} // namespace tanagerhoist

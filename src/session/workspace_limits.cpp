#include "tanagerhoist/session/workspace_limits.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerhoist
{
namespace
{

constexpr double demand_memory_s = 2.0; // time constant of the demand
constexpr milliseconds longest_wait{2000};

/// Part of the tolerated excess that is handed out; the rest covers what is on
/// its way while shares move.
constexpr double used_tolerance = 0.8;

/// Part of the operations at once that is split evenly over the VMs.
constexpr double even_capacity = 0.5;

/// Part of its capacity that a VM starts with where others, or an earlier
/// life, may just have used theirs.
constexpr double restart_fill = 0.2;

} // namespace

workspace_limits::workspace_limits(limit_tolerance tolerance, bool fresh)
    : tolerance_(tolerance), fresh_(fresh)
{
}

/// Sets what this VM may admit: its rate, and how much at once.
void workspace_limits::apply(moment now, allowance& share) const
{
    const auto members = std::max<std::size_t>(1, members_);
    const auto even = even_parts / members;
    const double dealt = static_cast<double>(share.dealt) /
                         static_cast<double>(share_parts - even_parts);
    const double part = even_capacity / static_cast<double>(members) +
                        (1 - even_capacity) * dealt;
    const double capacity = std::max(1.0, share.capacity * part);
    share.bucket.use_least_capacity(
        static_cast<std::uint64_t>(capacity * token_unit));
    share.bucket.use_parts(now, even + share.dealt);
}

void workspace_limits::use_settings(moment now,
                                    const session_settings& settings)
{
    for (auto it = shares_.begin(); it != shares_.end();)
    {
        it = settings.workspaces.count(it->first) == 0 ? shares_.erase(it)
                                                       : std::next(it);
    }
    const auto window = static_cast<double>(tolerance_.window.count());
    for (const auto& [name, workspace] : settings.workspaces)
    {
        const auto [it, added] = shares_.try_emplace(name);
        auto& share = it->second;
        const double excess =
            tolerance_.overage * (workspace.rate * window + workspace.burst) +
            tolerance_.slack;
        share.capacity = workspace.burst + used_tolerance * excess;
        // The capacity is set by itself, so the bucket's own burst is none.
        share.bucket.use_share(
            now, static_cast<std::uint64_t>(std::floor(workspace.rate)), 0,
            even_parts / std::max<std::size_t>(1, members_) + share.dealt);
        apply(now, share);
        if (added)
        {
            const double fill = fresh_ ? 1.0 : restart_fill;
            share.bucket.add(
                now, static_cast<std::uint64_t>(
                         fill * static_cast<double>(share.bucket.capacity())));
        }
    }
    fresh_ = false;
}

void workspace_limits::use_members(moment now, std::size_t members)
{
    if (members == members_ || members == 0)
    {
        return;
    }
    members_ = members;
    for (auto& [name, share] : shares_)
    {
        apply(now, share);
    }
}

void workspace_limits::use_shares(moment now, const proto::FleetView& view)
{
    dealt_at_ = now;
    for (const auto& given : view.shares())
    {
        const auto it = shares_.find(given.workspace());
        if (it != shares_.end() && it->second.dealt != given.parts())
        {
            it->second.dealt = given.parts();
            apply(now, it->second);
        }
    }
}

void workspace_limits::expire(moment now)
{
    if (now < dealt_at_ + share_duration)
    {
        return;
    }
    for (auto& [name, share] : shares_)
    {
        if (share.dealt != 0)
        {
            share.dealt = 0;
            apply(now, share);
        }
    }
}

bool workspace_limits::take(moment now, const std::string& workspace)
{
    const auto it = shares_.find(workspace);
    if (it == shares_.end())
    {
        return false;
    }
    expire(now);
    ++it->second.asked;
    return it->second.bucket.take(now, token_unit);
}

milliseconds workspace_limits::wait(moment now,
                                    const std::string& workspace) const
{
    const auto it = shares_.find(workspace);
    return it == shares_.end()
               ? longest_wait
               : it->second.bucket.time_to(now, token_unit, longest_wait);
}

std::vector<proto::WorkspaceDemand> workspace_limits::demand(moment now)
{
    const double seconds =
        std::chrono::duration<double>(now - reported_).count();
    reported_ = now;
    std::vector<proto::WorkspaceDemand> told;
    for (auto& [name, share] : shares_)
    {
        const double rate =
            seconds > 0 ? static_cast<double>(share.asked) / seconds : 0;
        share.asked = 0;
        share.asked_per_s +=
            std::min(1.0, seconds / demand_memory_s) *
            (rate - share.asked_per_s);
        proto::WorkspaceDemand entry;
        entry.set_workspace(name);
        entry.set_asked_per_1000s(static_cast<std::uint64_t>(
            std::ceil(share.asked_per_s * 1000)));
        entry.set_parts(share.dealt);
        if (entry.asked_per_1000s() != 0 || entry.parts() != 0)
        {
            told.push_back(std::move(entry));
        }
    }
    return told;
}

} // namespace tanagerhoist

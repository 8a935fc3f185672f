#include "tanagerhoist/session/workspace_limits.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerhoist
{
namespace
{

constexpr double demand_weight = 0.5; // of the newest period
constexpr milliseconds longest_wait{2000};

/// VMs up to which each may hold one whole operation of a small workspace.
constexpr std::size_t few_members = 12;

} // namespace

void workspace_limits::apply(moment now, allowance& share) const
{
    const auto even = even_parts / std::max<std::size_t>(1, members_);
    share.bucket.use_least_capacity(members_ <= few_members ? token_unit : 0);
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
    for (const auto& [name, workspace] : settings.workspaces)
    {
        const auto [it, added] = shares_.try_emplace(name);
        auto& share = it->second;
        const auto even = even_parts / std::max<std::size_t>(1, members_);
        share.bucket.use_share(
            now, static_cast<std::uint64_t>(std::floor(workspace.rate)),
            static_cast<std::uint64_t>(std::floor(workspace.burst)),
            even + share.dealt);
        apply(now, share);
        if (added)
        {
            share.bucket.add(now, share.bucket.capacity());
        }
    }
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
        share.asked_per_s += demand_weight * (rate - share.asked_per_s);
        proto::WorkspaceDemand entry;
        entry.set_workspace(name);
        entry.set_asked_per_s(
            static_cast<std::uint64_t>(std::ceil(share.asked_per_s)));
        entry.set_parts(share.dealt);
        if (entry.asked_per_s() != 0 || entry.parts() != 0)
        {
            told.push_back(std::move(entry));
        }
    }
    return told;
}

} // namespace tanagerhoist

#include "tanagerhoist/session/workspace_limits.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerhoist
{
namespace
{

// Time constants of the demand: the longer keeps the share of callers who
// pause, the shorter gives one to those who come.
constexpr double demand_memory_s = 2.0;
constexpr double short_memory_s = 0.4;
constexpr milliseconds longest_wait{2000};

/// Part of the tolerated excess that is handed out; the rest covers what is on
/// its way while shares move.
constexpr double used_tolerance = 0.8;

/// Part of the operations at once that is split evenly over the VMs.
constexpr double even_capacity = 0.5;

/// VMs up to which each may hold one operation of any workspace unasked.
constexpr std::size_t few_members = 12;

/// How long a VM whose callers have gone asks for a share.
constexpr milliseconds expectation{5000};

/// News of the shares younger than this shows that a holder is there.
constexpr milliseconds fresh_news{1200};

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
    const bool whole = share.dealt != 0 || members <= few_members;
    const double capacity =
        std::max(whole ? 1.0 : 0.0, share.capacity * part);
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
        if (it == shares_.end())
        {
            continue;
        }
        it->second.exhausted = given.exhausted();
        if (it->second.dealt != given.parts())
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

void workspace_limits::expect(const std::string& workspace)
{
    const auto it = shares_.find(workspace);
    if (it != shares_.end())
    {
        it->second.expected = reported_;
        short_ = short_ || it->second.dealt == 0;
    }
}

bool workspace_limits::may_grow(moment now, const std::string& workspace) const
{
    const auto it = shares_.find(workspace);
    return it != shares_.end() && !it->second.exhausted &&
           now < dealt_at_ + fresh_news;
}

bool workspace_limits::take(moment now, const std::string& workspace,
                            bool again)
{
    const auto it = shares_.find(workspace);
    if (it == shares_.end())
    {
        return false;
    }
    expire(now);
    it->second.asked += again ? 0 : 1;
    it->second.expected = now;
    const bool taken = it->second.bucket.take(now, token_unit);
    short_ = short_ || !taken;
    return taken;
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
    short_ = false;
    std::vector<proto::WorkspaceDemand> told;
    for (auto& [name, share] : shares_)
    {
        const double rate =
            seconds > 0 ? static_cast<double>(share.asked) / seconds : 0;
        share.asked = 0;
        share.asked_per_s +=
            std::min(1.0, seconds / demand_memory_s) *
            (rate - share.asked_per_s);
        share.just_asked += std::min(1.0, seconds / short_memory_s) *
                            (rate - share.just_asked);
        const double told_rate =
            std::max(share.asked_per_s, share.just_asked);
        proto::WorkspaceDemand entry;
        entry.set_workspace(name);
        const bool expects =
            share.expected != moment{} && now < share.expected + expectation;
        // Zero gives the share back.
        entry.set_asked_per_1000s(
            expects ? static_cast<std::uint64_t>(
                          std::ceil(told_rate * 1000)) + 1
                    : 0);
        entry.set_parts(share.dealt);
        if (expects || entry.parts() != 0)
        {
            told.push_back(std::move(entry));
        }
    }
    return told;
}

} // namespace tanagerhoist

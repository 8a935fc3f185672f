#include "tanagerhoist/session/workspace_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagerhoist
{
namespace
{

// Time constants of the demand: the longer keeps the stock of callers who
// pause, the shorter gives one to those who come.
constexpr double demand_memory_s = 2.0;
constexpr double short_memory_s = 0.4;

/// Time that a stock is to last for, which outlives most changes of the duty's
/// holder.
constexpr double stock_s = 2.5;

constexpr milliseconds longest_wait{2000};

/// Part of the tolerated excess that is handed out; the rest covers what is on
/// its way.
constexpr double used_tolerance = 0.75;

/// Part of the burst that is admitted steadily over a window.
constexpr double steady_burst = 0.8;

/// VMs up to which each may hold one operation of any workspace unasked.
constexpr std::size_t few_members = 12;

/// Pause, for each VM of the fleet, between requests for what the fleet lacks:
/// at most a thousand a second reach the holder.
constexpr milliseconds dry_pause_per_vm{1};

/// How long a VM whose callers have gone wants a stock.
constexpr milliseconds expectation{5000};

/// A holder of the duty that is there answers within this time.
constexpr milliseconds answer_patience{150};

/// News younger than this shows that a holder of the duty is there.
constexpr milliseconds fresh_news{1200};

/// How long a VM that lost the holder admits what it was asked for before, if
/// the fleet was asked for less than allowed: longer than a new holder takes.
constexpr milliseconds longest_alone{6500};
constexpr double alone_factor = 1.3; // of the demand before
constexpr std::uint64_t alone_burst = 3;

} // namespace

fleet_allowance allowance_of(const session_workspace& workspace,
                             const limit_tolerance& tolerance)
{
    const auto window = static_cast<double>(tolerance.window.count());
    const double excess =
        tolerance.overage * (workspace.rate * window + workspace.burst) +
        tolerance.slack;
    fleet_allowance allowed;
    allowed.rate = workspace.rate + steady_burst * workspace.burst / window;
    allowed.capacity =
        (1 - steady_burst) * workspace.burst + used_tolerance * excess;
    return allowed;
}

workspace_limits::workspace_limits(limit_tolerance tolerance)
    : tolerance_(tolerance)
{
}

/// Sets rate and burst of the even share. Split over many VMs it would not make
/// up one operation, so that the holder of the duty grants everything there.
void workspace_limits::apply(moment now, allowance& share) const
{
    const auto members = std::max<std::size_t>(1, members_);
    const double even = static_cast<double>(even_parts) / share_parts;
    const double capacity =
        std::max(members <= few_members ? 1.0 : 0.0,
                 share.fleet.capacity * even / static_cast<double>(members));
    share.even.set_min_capacity(
        static_cast<std::uint64_t>(capacity * token_unit));
    share.even.use_parts(now,
                         members <= few_members ? even_parts / members : 0);
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
        const double before = share.fleet.rate;
        share.fleet = allowance_of(workspace, tolerance_);
        if (share.fleet.rate < before)
        {
            share.stock = 0; // granted under the higher limit
        }
        // The capacity is set by itself, so the bucket's own burst is none.
        share.even.use_share(
            now, static_cast<std::uint64_t>(std::floor(share.fleet.rate)), 0,
            0);
        apply(now, share);
        // Restarts of all VMs together stay within the tolerated excess.
        share.even.add(now, added ? share.even.capacity() : 0);
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

void workspace_limits::use_grants(moment now, const grants& given)
{
    heard_ = now;
    unanswered_since_.reset();
    for (const auto& grant : given)
    {
        const auto it = shares_.find(grant.workspace());
        if (it != shares_.end())
        {
            it->second.stock += grant.operations();
            it->second.exhausted = grant.exhausted();
            it->second.dry = grant.empty();
            it->second.calm = grant.calm();
        }
    }
}

void workspace_limits::expect(moment now, const std::string& workspace)
{
    const auto it = shares_.find(workspace);
    if (it != shares_.end())
    {
        it->second.expected = now;
    }
}

bool workspace_limits::may_grow(moment now, const std::string& workspace) const
{
    const auto it = shares_.find(workspace);
    return it != shares_.end() && !it->second.exhausted &&
           now < heard_ + fresh_news;
}

bool workspace_limits::take(moment now, const std::string& workspace,
                            bool again)
{
    const auto it = shares_.find(workspace);
    if (it == shares_.end())
    {
        return false;
    }
    auto& share = it->second;
    share.asked += again ? 0 : 1;
    share.expected = now;
    if (share.even.take(now, token_unit))
    {
        return true; // what is not used of it is lost, so it goes first
    }
    const bool granted = share.stock > 0;
    share.stock -= granted ? 1 : 0;
    if (!granted && take_alone(now, share))
    {
        return true;
    }
    share.missing += granted || again ? 0 : 1;
    short_ = short_ || (!granted && !share.dry);
    dry_ = dry_ || !granted;
    return granted;
}

bool workspace_limits::is_short(moment now) const
{
    return short_ || (dry_ && now >= asked_ + dry_pause_per_vm * members_);
}

void workspace_limits::give_back(const std::string& workspace)
{
    const auto it = shares_.find(workspace);
    if (it != shares_.end())
    {
        ++it->second.stock;
    }
}

std::string workspace_limits::describe(moment now,
                                       const std::string& workspace) const
{
    const auto it = shares_.find(workspace);
    if (it == shares_.end())
    {
        return "no limits known";
    }
    const auto& share = it->second;
    return "stock " + std::to_string(share.stock) + ", fleet " +
           (share.exhausted ? "exhausted"
            : share.calm    ? "calm"
                            : "busy") +
           ", news " + std::to_string(to_ms(now - heard_)) + " ms old, rate " +
           std::to_string(static_cast<std::uint64_t>(share.fleet.rate)) +
           "/s, asked here " +
           std::to_string(static_cast<std::uint64_t>(share.asked_per_s)) +
           "/s, VMs " + std::to_string(members_);
}

/// Admits on the demand of before while no holder is heard.
bool workspace_limits::take_alone(moment now, allowance& share) const
{
    return is_alone(now) && share.calm && share.alone.take(now, token_unit);
}

/// Whether the holder of the duty seems to be gone.
bool workspace_limits::is_alone(moment now) const
{
    const bool unanswered =
        unanswered_since_ && now >= *unanswered_since_ + answer_patience;
    return (unanswered || now >= heard_ + fresh_news) &&
           now < heard_ + longest_alone;
}

milliseconds workspace_limits::wait(moment now,
                                    const std::string& workspace) const
{
    const auto it = shares_.find(workspace);
    return it == shares_.end() ? longest_wait
                               : it->second.even.time_until_available(
                                     now, token_unit, longest_wait);
}

std::uint64_t workspace_limits::wanted(moment now, const allowance& share)
{
    if (share.expected == moment{} || now >= share.expected + expectation)
    {
        return 0;
    }
    const double rate = std::max(share.asked_per_s, share.just_asked);
    return static_cast<std::uint64_t>(std::ceil(rate * stock_s)) + 1;
}

void workspace_limits::note_request(moment now)
{
    asked_ = now;
    unanswered_since_ = unanswered_since_.value_or(now);
    short_ = false;
    dry_ = false;
}

std::vector<proto::WorkspaceDemand> workspace_limits::demand(moment now)
{
    const double seconds =
        std::chrono::duration<double>(now - reported_).count();
    reported_ = now;
    note_request(now);
    std::vector<proto::WorkspaceDemand> told;
    for (auto& [name, share] : shares_)
    {
        const double rate =
            seconds > 0 ? static_cast<double>(share.asked) / seconds : 0;
        share.asked = 0;
        share.asked_per_s += std::min(1.0, seconds / demand_memory_s) *
                             (rate - share.asked_per_s);
        share.just_asked +=
            std::min(1.0, seconds / short_memory_s) * (rate - share.just_asked);
        const auto want = wanted(now, share);
        const auto kept = std::min(share.stock, 2 * want);
        const auto returned = share.stock - kept;
        share.stock = kept;
        if (want == 0 && returned == 0)
        {
            continue;
        }
        proto::WorkspaceDemand entry;
        entry.set_workspace(name);
        entry.set_stock(share.stock);
        entry.set_wanted(want);
        entry.set_missing(std::exchange(share.missing, 0));
        entry.set_returned(returned);
        entry.set_asked_per_1000s(
            static_cast<std::uint64_t>(std::ceil(share.asked_per_s * 1000)));
        if (now < heard_ + fresh_news)
        {
            const double part = alone_factor * share.asked_per_s /
                                std::max(1.0, share.fleet.rate);
            share.alone.set_min_capacity(alone_burst * token_unit);
            share.alone.use_share(
                now, static_cast<std::uint64_t>(share.fleet.rate), 0,
                static_cast<std::uint64_t>(std::min(1.0, part) * share_parts));
        }
        told.push_back(std::move(entry));
    }
    return told;
}

std::vector<proto::WorkspaceDemand> workspace_limits::missing(moment now)
{
    note_request(now);
    std::vector<proto::WorkspaceDemand> told;
    for (auto& [name, share] : shares_)
    {
        if (share.missing != 0)
        {
            proto::WorkspaceDemand entry;
            entry.set_workspace(name);
            entry.set_stock(share.stock);
            entry.set_missing(std::exchange(share.missing, 0));
            told.push_back(std::move(entry));
        }
    }
    return told;
}

} // namespace tanagerhoist

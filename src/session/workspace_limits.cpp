#include "tanagerhoist/session/workspace_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagerhoist
{
namespace
{

// Time constants of the smoothed demand: the longer one keeps a stock for
// callers that pause, the shorter one builds up a stock for new callers.
constexpr double demand_memory_s = 2.0;
constexpr double short_demand_memory_s = 0.4;

/// Time that a stock should last, longer than most changes of the coordinator
/// take.
constexpr double stock_s = 2.5;

constexpr double per_1000s = 1000; ///< rates in messages are per 1,000 s

/// Fraction of the tolerated excess that is handed out; the rest covers grants
/// in flight.
constexpr double used_tolerance = 0.75;

/// Fraction of the burst that is admitted at a steady rate over a window.
constexpr double steady_burst = 0.8;

/// Pause between requests while the fleet-wide limit is used up, per VM of the
/// fleet: the coordinator gets at most 1000 requests/s.
constexpr milliseconds exhausted_pause_per_vm{1};

/// How long a VM requests a stock after its last caller has gone.
constexpr milliseconds demand_lifetime{5000};

/// Time without a message after which the coordinator counts as lost.
constexpr milliseconds coordinator_message_timeout{1200};

} // namespace

double tolerated_excess(const session_workspace& workspace,
                        const limit_tolerance& tolerance)
{
    const auto window = static_cast<double>(tolerance.window.count());
    return tolerance.overage * (workspace.rate * window + workspace.burst) +
           tolerance.slack;
}

fleet_allowance allowance_of(const session_workspace& workspace,
                             const limit_tolerance& tolerance)
{
    const auto window = static_cast<double>(tolerance.window.count());
    const double excess = tolerated_excess(workspace, tolerance);
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

/// Sets the rate and burst of the even share. In a large fleet it would be less
/// than one operation, so the coordinator grants everything there.
void workspace_limits::apply(moment now, allowance& share) const
{
    const auto members = std::max<std::size_t>(1, members_);
    const double even = static_cast<double>(even_share_parts) / share_parts;
    const double capacity =
        std::max(members <= small_fleet ? 1.0 : 0.0,
                 share.fleet.capacity * even / static_cast<double>(members));
    share.even.set_min_capacity(
        static_cast<std::uint64_t>(capacity * token_unit));
    share.even.use_parts(
        now, members <= small_fleet ? even_share_parts / members : 0);
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
        share.standalone.use_window(tolerance_.window);
        if (share.fleet.rate < before)
        {
            share.stock = 0; // was granted under the higher limit
            share.standalone.use(now, 0, 0);
        }
        // apply() sets the capacity, so the bucket's own burst is 0.
        share.even.use_share(
            now, static_cast<std::uint64_t>(std::floor(share.fleet.rate)), 0,
            0);
        apply(now, share);
        // Even if all VMs restart, the total stays within the tolerated excess.
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
    deputy_.use_members(members);
    for (auto& [name, share] : shares_)
    {
        apply(now, share);
    }
}

void workspace_limits::use_grants(moment now, const grants& given, bool in_term)
{
    last_message_ = now;
    last_in_term_ = in_term ? now : last_in_term_;
    unanswered_since_.reset();
    deputy_.reset();
    for (const auto& grant : given)
    {
        const auto it = shares_.find(grant.workspace());
        if (it != shares_.end())
        {
            it->second.stock += grant.operations();
            it->second.exhausted = grant.exhausted();
            it->second.fleet_empty = grant.empty();
            it->second.calm = grant.calm();
            if (in_term)
            {
                it->second.standalone.use(
                    now,
                    static_cast<double>(grant.standalone_per_1000s()) /
                        per_1000s,
                    grant.standalone_at_once());
            }
            else if (!grant.calm() && (!grant.empty() || grant.exhausted()))
            {
                it->second.standalone.use(now, 0, 0); // was told in calm
            }
            if (grant.exhausted())
            {
                it->second.missing = 0; // what is held is going to be refused
            }
        }
    }
}

void workspace_limits::note_callers(moment now, const std::string& workspace)
{
    const auto it = shares_.find(workspace);
    if (it != shares_.end())
    {
        it->second.callers_seen = now;
    }
}

bool workspace_limits::may_receive_grant(moment now,
                                         const std::string& workspace) const
{
    const auto it = shares_.find(workspace);
    if (it == shares_.end())
    {
        return false;
    }
    if (may_hand_over(now) && deputy_.is_expected(now))
    {
        return true;
    }
    return !is_coordinator_silent(now) &&
           (!it->second.exhausted || unanswered_since_ || is_request_due(now));
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
    share.callers_seen = now;
    if (share.even.take(now, token_unit))
    {
        return true; // used first, since its unused part is lost
    }
    const bool granted = share.stock > 0;
    share.stock -= granted ? 1 : 0;
    if (!granted && take_standalone(now, share))
    {
        return true;
    }
    stock_empty_ = stock_empty_ || (!granted && !share.fleet_empty);
    fleet_exhausted_ = fleet_exhausted_ || !granted;
    return granted;
}

bool workspace_limits::needs_grant(moment now) const
{
    return stock_empty_ || (fleet_exhausted_ && is_request_due(now));
}

/// Whether the pause between requests to an exhausted fleet is over.
bool workspace_limits::is_request_due(moment now) const
{
    return now >= last_request_ + exhausted_pause_per_vm * members_;
}

void workspace_limits::note_held(const std::string& workspace)
{
    const auto it = shares_.find(workspace);
    if (it != shares_.end())
    {
        ++it->second.missing;
    }
}

void workspace_limits::forget_held()
{
    for (auto& [name, share] : shares_)
    {
        share.missing = 0;
    }
}

void workspace_limits::refund(const std::string& workspace)
{
    const auto it = shares_.find(workspace);
    if (it != shares_.end())
    {
        ++it->second.stock;
    }
}

/// Admits what the last coordinator allows while there is none.
bool workspace_limits::take_standalone(moment now, allowance& share) const
{
    return is_coordinator_lost(now) &&
           now < last_in_term_ + longest_standalone &&
           share.standalone.take(now, last_message_);
}

/// Whether the coordinator appears to be lost.
bool workspace_limits::is_coordinator_lost(moment now) const
{
    const bool unanswered =
        unanswered_since_ && now >= *unanswered_since_ + grant_answer_timeout;
    return unanswered || is_coordinator_silent(now);
}

/// Whether nothing has been heard from the coordinator for long.
bool workspace_limits::is_coordinator_silent(moment now) const
{
    return now >= last_message_ + coordinator_message_timeout;
}

std::uint64_t workspace_limits::wanted(moment now, const allowance& share)
{
    if (share.callers_seen == moment{} ||
        now >= share.callers_seen + demand_lifetime)
    {
        return 0;
    }
    const double rate = std::max(share.asked_per_s, share.recently_asked_per_s);
    return static_cast<std::uint64_t>(std::ceil(rate * stock_s)) + 1;
}

void workspace_limits::record_request(moment now)
{
    last_request_ = now;
    unanswered_since_ = unanswered_since_.value_or(now);
    stock_empty_ = false;
    fleet_exhausted_ = false;
}

std::vector<proto::WorkspaceDemand> workspace_limits::demand(moment now)
{
    const double seconds =
        std::chrono::duration<double>(now - last_report_).count();
    last_report_ = now;
    record_request(now);
    std::vector<proto::WorkspaceDemand> demands;
    for (auto& [name, share] : shares_)
    {
        const double rate =
            seconds > 0 ? static_cast<double>(share.asked) / seconds : 0;
        share.asked = 0;
        share.asked_per_s += std::min(1.0, seconds / demand_memory_s) *
                             (rate - share.asked_per_s);
        share.recently_asked_per_s +=
            std::min(1.0, seconds / short_demand_memory_s) *
            (rate - share.recently_asked_per_s);
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
        entry.set_asked_per_1000s(static_cast<std::uint64_t>(
            std::ceil(share.asked_per_s * per_1000s)));
        demands.push_back(std::move(entry));
    }
    return demands;
}

std::vector<proto::WorkspaceDemand> workspace_limits::missing(moment now)
{
    record_request(now);
    std::vector<proto::WorkspaceDemand> demands;
    for (auto& [name, share] : shares_)
    {
        if (share.missing != 0)
        {
            proto::WorkspaceDemand entry;
            entry.set_workspace(name);
            entry.set_stock(share.stock);
            entry.set_missing(std::exchange(share.missing, 0));
            demands.push_back(std::move(entry));
        }
    }
    return demands;
}

} // namespace tanagerhoist

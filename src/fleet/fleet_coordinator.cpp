#include "tanagerhoist/fleet/fleet_coordinator.hpp"

#include "tanagerhoist/session/primary_lease.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Older reports are ignored when judging the reachability of servers.
constexpr milliseconds max_report_age{1600};

/// A primary is replaced after most VMs have failed to reach it for this long.
constexpr milliseconds unreachable_before_failover{250};

/// A VM that has not reported for this long is assumed to hold no grants.
constexpr milliseconds stock_timeout{10000};

/// Within this time a VM that knows of a seal has stopped using the primary.
constexpr milliseconds seal_propagation_time{500};

bool is_lease_expired(const fleet_member& member, milliseconds store_now)
{
    return store_now > milliseconds(member.row.store_ms()) +
                           primary_lease_duration + primary_lease_margin;
}

} // namespace

fleet_coordinator::fleet_coordinator(limit_tolerance tolerance,
                                     bool first_start)
    : tolerance_(tolerance), first_start_(first_start)
{
}

void fleet_coordinator::reset(const proto::DutyRow& former)
{
    former_balances_.clear();
    for (const auto& balance : former.left())
    {
        former_balances_[balance.workspace()] = balance.operations();
    }
    first_start_ = first_start_ && former.token() == 0;
    vms_.clear();
    accounts_.clear();
    unreachable_since_.clear();
    positions_.clear();
    seal_waits_.clear();
}

std::vector<proto::WorkspaceBalance>
fleet_coordinator::balances(moment now) const
{
    std::vector<proto::WorkspaceBalance> found;
    for (const auto& [workspace, account] : accounts_)
    {
        proto::WorkspaceBalance balance;
        balance.set_workspace(workspace);
        balance.set_operations(account.available.tokens(now) / token_unit);
        found.push_back(std::move(balance));
    }
    return found;
}

void fleet_coordinator::apply_report(moment now, const proto::VmReport& report)
{
    auto& vm = vms_[report.vm()];
    if (vm.report.life() == report.life() &&
        report.sequence() <= vm.report.sequence())
    {
        return; // duplicate or out of date
    }
    if (vm.report.life() != report.life())
    {
        for (auto& [name, account] : accounts_)
        {
            account.stocks.erase(report.vm()); // a restarted VM holds none
        }
    }
    vm.report = report;
    vm.heard = now;
    take_positions(vm);
}

std::uint64_t fleet_coordinator::servers_version(const std::string& vm) const
{
    const auto it = vms_.find(vm);
    return it == vms_.end() ? 0 : it->second.report.servers_version();
}

/// Applies the reported positions. A position is dated from the send time of
/// the view that the report names, since the report was sent after that view,
/// however long its delivery took.
void fleet_coordinator::take_positions(const vm_state& vm)
{
    const auto view = vm.views.find(vm.report.view());
    if (view == vm.views.end())
    {
        return;
    }
    for (const auto& sample : vm.report.positions())
    {
        take_position(sample, view->second - milliseconds(sample.age_ms()));
    }
}

void fleet_coordinator::take_position(const proto::PositionSample& sample,
                                      moment complete_until)
{
    auto& known = positions_[sample.group()];
    if (sample.term() > known.sample.term() ||
        (sample.term() == known.sample.term() &&
         complete_until > known.complete_until))
    {
        known.sample = sample;
        known.complete_until = complete_until;
    }
}

void fleet_coordinator::confirm_log_end(const proto::GroupLead& lead,
                                        const log_position& end,
                                        moment confirmed)
{
    proto::PositionSample sample;
    sample.set_group(lead.group());
    sample.set_term(end.term);
    sample.set_number(end.number);
    take_position(sample, confirmed);
}

std::uint64_t fleet_coordinator::record_view(moment now, const std::string& vm,
                                             std::uint64_t sequence)
{
    const auto it = vms_.find(vm);
    if (it == vms_.end())
    {
        return 0;
    }
    constexpr std::size_t kept_views = 16;
    auto& views = it->second.views;
    views[sequence] = now;
    if (views.size() > kept_views)
    {
        views.erase(views.begin());
    }
    return it->second.report.sequence();
}

bool fleet_coordinator::is_primary_unreachable(moment now,
                                               const std::string& primary)
{
    unsigned lacking = 0;
    unsigned reaching = 0;
    const auto names = [&primary](const auto& list)
    { return std::find(list.begin(), list.end(), primary) != list.end(); };
    for (const auto& [name, vm] : vms_)
    {
        if (now < vm.heard + max_report_age)
        {
            lacking += names(vm.report.unreachable()) ? 1 : 0;
            reaching += names(vm.report.reachable()) ? 1 : 0;
        }
    }
    if (lacking == 0 || lacking <= reaching)
    {
        unreachable_since_.erase(primary);
        return false;
    }
    const auto since =
        unreachable_since_.try_emplace(primary, now).first->second;
    return now >= since + unreachable_before_failover;
}

bool fleet_coordinator::has_acknowledged_seal(const proto::GroupLead& lead,
                                              const fleet_member& member) const
{
    const auto it = vms_.find(member.row.vm());
    if (it == vms_.end() || it->second.report.life() != member.row.life())
    {
        return false;
    }
    const auto& acks = it->second.report.sealed();
    return std::any_of(acks.begin(), acks.end(),
                       [&lead](const proto::SealAck& ack) {
                           return ack.group() == lead.group() &&
                                  ack.epoch() == lead.epoch();
                       });
}

bool fleet_coordinator::is_reporting(moment now, const std::string& vm) const
{
    const auto it = vms_.find(vm);
    return it != vms_.end() && now < it->second.heard + max_report_age;
}

/// Until when a VM may use a sealed primary; not after `now` if it doesn't use
/// it any more.
moment fleet_coordinator::primary_used_until(moment now,
                                             const proto::GroupLead& lead,
                                             std::uint64_t seal_version,
                                             const fleet_member& member,
                                             const fleet_members& members) const
{
    if (has_acknowledged_seal(lead, member))
    {
        return now;
    }
    if (member.version > seal_version)
    {
        // The VM knew of the seal when it wrote this row.
        return members.read_at + seal_propagation_time;
    }
    if (is_lease_expired(member, members.store_now))
    {
        return now;
    }
    constexpr milliseconds next_report{1}; // it will acknowledge soon
    if (is_reporting(now, member.row.vm()))
    {
        return now + next_report;
    }
    const auto lease_end = milliseconds(member.row.store_ms()) +
                           primary_lease_duration + primary_lease_margin;
    const auto expected = members.read_at + (lease_end - members.store_now);
    return std::max(expected, now + next_report);
}

bool fleet_coordinator::is_primary_unused(moment now,
                                          const proto::GroupLead& lead,
                                          std::uint64_t seal_version,
                                          moment sealed,
                                          const fleet_members& members)
{
    seal_waits_.erase(lead.group());
    const auto leases_end =
        sealed + primary_lease_duration + primary_lease_margin;
    if (now >= leases_end)
    {
        return true; // every lease from before the seal has expired
    }
    if (now < members.incomplete_until)
    {
        seal_waits_[lead.group()] =
            std::min(members.incomplete_until, leases_end);
        return false;
    }
    if (members.read_at < sealed)
    {
        return false; // a VM may have registered between the read and the seal
    }
    auto until = now;
    for (const auto& [vm, member] : members.rows)
    {
        until = std::max(until, primary_used_until(now, lead, seal_version,
                                                   member, members));
    }
    if (until > now)
    {
        seal_waits_[lead.group()] = std::min(until, leases_end);
    }
    return until <= now;
}

void fleet_coordinator::add_seal_waits(moment now, proto::FleetView& view) const
{
    for (const auto& [group, until] : seal_waits_)
    {
        if (until > now)
        {
            auto& wait = *view.add_seal_waits();
            wait.set_group(group);
            wait.set_wait_ms(to_ms(until - now));
        }
    }
}

std::vector<std::string>
fleet_coordinator::expired_vms(moment now, const fleet_members& members) const
{
    std::vector<std::string> found;
    if (now < members.incomplete_until)
    {
        return found; // a row may be older than the lease of its VM
    }
    for (const auto& [vm, member] : members.rows)
    {
        if (!is_reporting(now, vm) &&
            is_lease_expired(member, members.store_now))
        {
            found.push_back(vm);
        }
    }
    return found;
}

/// Part of the limits that is granted on request rather than split evenly. It
/// is all of them in a large fleet, whose VMs have no even share.
std::uint64_t fleet_coordinator::coordinator_share_parts() const
{
    return vms_.size() >= large_fleet ? share_parts
                                      : share_parts - even_share_parts;
}

/// Returns a workspace's account, updated to its current limits.
fleet_coordinator::workspace_account&
fleet_coordinator::account(moment now, const std::string& workspace,
                           const session_workspace& limits)
{
    auto& account = accounts_[workspace];
    for (auto it = account.stocks.begin(); it != account.stocks.end();)
    {
        const auto vm = vms_.find(it->first);
        const bool gone =
            vm == vms_.end() || now >= vm->second.heard + stock_timeout;
        if (gone)
        {
            account.requested_rates.erase(it->first);
        }
        it = gone ? account.stocks.erase(it) : std::next(it);
    }
    std::uint64_t held = 0;
    for (const auto& [vm, stock] : account.stocks)
    {
        held += stock * token_unit;
    }
    const auto allowed = allowance_of(limits, tolerance_);
    const auto capacity = static_cast<std::uint64_t>(
        allowed.capacity * token_unit *
        static_cast<double>(coordinator_share_parts()) / share_parts);
    account.capacity = capacity;
    // Operations that VMs hold count towards the capacity.
    account.available.set_min_capacity(capacity - std::min(capacity, held));
    account.available.use_share(now, static_cast<std::uint64_t>(allowed.rate),
                                0, coordinator_share_parts());
    if (!account.known)
    {
        account.known = true;
        // If the previous holder did not release the lease, nothing is carried
        // over: VMs have admitted operations without a coordinator since.
        const auto earned = former_balances_[workspace] * token_unit;
        account.available.clear();
        account.available.add(now, first_start_ ? capacity
                                                : std::min(capacity, earned));
    }
    return account;
}

void fleet_coordinator::grant(moment now, const session_settings& settings,
                              const std::string& vm, grants& given)
{
    const auto it = vms_.find(vm);
    if (it == vms_.end())
    {
        return;
    }
    for (const auto& demand : it->second.report.demand())
    {
        accounts_[demand.workspace()].requested_rates[vm] =
            demand.asked_per_1000s();
        grant_workspace(now, settings, vm, demand, given);
    }
    it->second.report.clear_demand(); // must not be granted twice
}

bool fleet_coordinator::grant(moment now, const session_settings& settings,
                              const proto::GrantRequest& request, grants& given)
{
    const auto it = vms_.find(request.vm());
    if (it == vms_.end() || it->second.report.life() != request.life() ||
        request.sequence() <= it->second.report.sequence())
    {
        return false;
    }
    it->second.report.set_sequence(request.sequence());
    for (const auto& demand : request.demand())
    {
        grant_workspace(now, settings, request.vm(), demand, given);
    }
    return true;
}

bool fleet_coordinator::is_below_limit(const workspace_account& account,
                                       const fleet_allowance& allowed)
{
    constexpr double calm_part = 0.8;
    constexpr double per_1000s = 1000;
    double requested = 0;
    for (const auto& [vm, rate] : account.requested_rates)
    {
        requested += static_cast<double>(rate);
    }
    return requested < calm_part * allowed.rate * per_1000s;
}

void fleet_coordinator::grant_workspace(moment now,
                                        const session_settings& settings,
                                        const std::string& vm,
                                        const proto::WorkspaceDemand& demand,
                                        grants& given)
{
    const auto limits = settings.workspaces.find(demand.workspace());
    if (limits == settings.workspaces.end())
    {
        return;
    }
    accounts_[demand.workspace()].stocks[vm] = demand.stock();
    auto& all = account(now, demand.workspace(), limits->second);
    all.available.add(now, demand.returned() * token_unit);
    // A VM's stock is limited to an equal part of 3/4 of the capacity, so that
    // the rest is available for sudden demand; with many VMs the limit is 0.
    const auto most = all.capacity * 3 / 4 / token_unit / all.stocks.size();
    const auto target = std::min(demand.wanted(), most) + demand.missing();
    const auto short_by = target - std::min(target, demand.stock());
    const auto left = all.available.tokens(now) / token_unit;
    const auto operations = std::min(short_by, left);
    all.available.take(now, operations * token_unit);
    all.stocks[vm] += operations;
    auto& grant = *given.Add();
    grant.set_workspace(demand.workspace());
    grant.set_operations(operations);
    // While less is asked for than allowed, an empty account refills soon and
    // is not reported as exhausted.
    const bool calm =
        is_below_limit(all, allowance_of(limits->second, tolerance_));
    grant.set_empty(left == 0);
    grant.set_exhausted(left == 0 && !calm);
    grant.set_calm(left != 0 && calm);
}

void fleet_coordinator::add_positions(moment now, proto::FleetView& view) const
{
    for (const auto& [group, known] : positions_)
    {
        const auto age = to_ms(now - known.complete_until) + 1;
        if (milliseconds(age) < max_report_age)
        {
            auto& told = *view.add_positions();
            told = known.sample;
            told.set_age_ms(age);
        }
    }
}

} // namespace tanagerhoist

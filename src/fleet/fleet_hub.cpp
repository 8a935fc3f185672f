#include "tanagerhoist/fleet/fleet_hub.hpp"

#include "tanagerhoist/session/primary_right.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Reports that are older say nothing about servers.
constexpr milliseconds report_use{1600};

/// Time over which most VMs must lack a primary before it is replaced.
constexpr milliseconds lost_for{250};

/// A VM that is silent for longer is taken to have lost its stock.
constexpr milliseconds stock_kept{10000};

/// Time in which a VM that knows of a seal has ended its use of the primary.
constexpr milliseconds after_news{500};

bool has_lapsed(const fleet_member& member, milliseconds store_now)
{
    return store_now >
           milliseconds(member.row.store_ms()) + right_duration + right_slack;
}

} // namespace

fleet_hub::fleet_hub(limit_tolerance tolerance, bool fresh)
    : tolerance_(tolerance), fresh_(fresh)
{
}

void fleet_hub::begin(const proto::DutyRow& former)
{
    former_left_.clear();
    for (const auto& balance : former.left())
    {
        former_left_[balance.workspace()] = balance.operations();
    }
    fresh_ = fresh_ && former.token() == 0;
    vms_.clear();
    accounts_.clear();
    failing_since_.clear();
    positions_.clear();
}

std::vector<proto::WorkspaceBalance> fleet_hub::balances(moment now) const
{
    std::vector<proto::WorkspaceBalance> found;
    for (const auto& [workspace, account] : accounts_)
    {
        proto::WorkspaceBalance balance;
        balance.set_workspace(workspace);
        balance.set_operations(account.left.tokens(now) / token_unit);
        found.push_back(std::move(balance));
    }
    return found;
}

void fleet_hub::take_report(moment now, const proto::VmReport& report)
{
    auto& vm = vms_[report.vm()];
    if (vm.report.life() == report.life() &&
        report.sequence() <= vm.report.sequence())
    {
        return; // repeated, or overtaken
    }
    if (vm.report.life() != report.life())
    {
        for (auto& [name, account] : accounts_)
        {
            account.stocks.erase(report.vm()); // a new life has none
        }
    }
    vm.report = report;
    vm.heard = now;
    take_positions(vm);
}

std::uint64_t fleet_hub::servers_version(const std::string& vm) const
{
    const auto it = vms_.find(vm);
    return it == vms_.end() ? 0 : it->second.report.servers_version();
}

/// Takes in positions with the time that they cover for certain: the report
/// was sent after the view that it names, however long it was on its way.
void fleet_hub::take_positions(const vm_state& vm)
{
    const auto view = vm.views.find(vm.report.view());
    if (view == vm.views.end())
    {
        return;
    }
    for (const auto& sample : vm.report.positions())
    {
        auto& known = positions_[sample.group()];
        const auto covers = view->second - milliseconds(sample.age_ms());
        if (sample.term() > known.sample.term() ||
            (sample.term() == known.sample.term() && covers > known.covers))
        {
            known.sample = sample;
            known.covers = covers;
        }
    }
}

std::uint64_t fleet_hub::note_view(moment now, const std::string& vm,
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

bool fleet_hub::is_lost(moment now, const std::string& primary)
{
    unsigned lacking = 0;
    unsigned reaching = 0;
    const auto names = [&primary](const auto& list)
    { return std::find(list.begin(), list.end(), primary) != list.end(); };
    for (const auto& [name, vm] : vms_)
    {
        if (now < vm.heard + report_use)
        {
            lacking += names(vm.report.unreachable()) ? 1 : 0;
            reaching += names(vm.report.reachable()) ? 1 : 0;
        }
    }
    if (lacking == 0 || lacking <= reaching)
    {
        failing_since_.erase(primary);
        return false;
    }
    const auto since = failing_since_.try_emplace(primary, now).first->second;
    return now >= since + lost_for;
}

bool fleet_hub::has_acked(const proto::GroupLead& lead,
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

bool fleet_hub::is_sealed(moment now, const proto::GroupLead& lead,
                          std::uint64_t seal_version, moment sealed,
                          const fleet_members& members) const
{
    if (now >= sealed + right_duration + right_slack)
    {
        return true; // every older right has ended by itself
    }
    if (members.read_at < sealed)
    {
        return false; // a VM may have registered before the seal
    }
    return std::all_of(members.rows.begin(), members.rows.end(),
                       [&](const auto& entry)
                       {
                           const auto& member = entry.second;
                           if (has_acked(lead, member))
                           {
                               return true;
                           }
                           // A row that is newer than the seal is of a VM that
                           // knew of it.
                           return member.version > seal_version
                                      ? now >= members.read_at + after_news
                                      : has_lapsed(member, members.store_now);
                       });
}

std::vector<std::string> fleet_hub::lapsed(moment now,
                                           const fleet_members& members) const
{
    std::vector<std::string> found;
    for (const auto& [vm, member] : members.rows)
    {
        const auto report = vms_.find(vm);
        const bool reports =
            report != vms_.end() && now < report->second.heard + report_use;
        if (!reports && has_lapsed(member, members.store_now))
        {
            found.push_back(vm);
        }
    }
    return found;
}

/// What is not split evenly. The VMs of a fleet well above the size up to which
/// they have an even share have none.
std::uint64_t fleet_hub::granted_parts() const
{
    return vms_.size() >= large_fleet ? share_parts : share_parts - even_parts;
}

/// The account of a workspace with its limits as they are now.
fleet_hub::workspace_account&
fleet_hub::account(moment now, const std::string& workspace,
                   const session_workspace& limits)
{
    auto& account = accounts_[workspace];
    for (auto it = account.stocks.begin(); it != account.stocks.end();)
    {
        const auto vm = vms_.find(it->first);
        const bool gone =
            vm == vms_.end() || now >= vm->second.heard + stock_kept;
        if (gone)
        {
            account.asked.erase(it->first);
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
        allowed.capacity * token_unit * static_cast<double>(granted_parts()) /
        share_parts);
    account.capacity = capacity;
    // What VMs hold is part of what may be admitted at once.
    account.left.set_min_capacity(capacity - std::min(capacity, held));
    account.left.use_share(now, static_cast<std::uint64_t>(allowed.rate), 0,
                           granted_parts());
    if (!account.known)
    {
        account.known = true;
        // What was earned since the former holder ended without a word was
        // used by VMs on their own.
        const auto earned = former_left_[workspace] * token_unit;
        account.left.clear();
        account.left.add(now, fresh_ ? capacity : std::min(capacity, earned));
    }
    return account;
}

void fleet_hub::grant(moment now, const session_settings& settings,
                      const std::string& vm, grants& given)
{
    const auto it = vms_.find(vm);
    if (it == vms_.end())
    {
        return;
    }
    for (const auto& demand : it->second.report.demand())
    {
        accounts_[demand.workspace()].asked[vm] = demand.asked_per_1000s();
        grant_one(now, settings, vm, demand, given);
    }
    it->second.report.clear_demand(); // granted once
}

bool fleet_hub::grant(moment now, const session_settings& settings,
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
        grant_one(now, settings, request.vm(), demand, given);
    }
    return true;
}

bool fleet_hub::is_calm(const workspace_account& account,
                        const fleet_allowance& allowed)
{
    constexpr double calm_part = 0.8;
    constexpr double per_1000s = 1000;
    double asked = 0;
    for (const auto& [vm, rate] : account.asked)
    {
        asked += static_cast<double>(rate);
    }
    return asked < calm_part * allowed.rate * per_1000s;
}

void fleet_hub::grant_one(moment now, const session_settings& settings,
                          const std::string& vm,
                          const proto::WorkspaceDemand& demand, grants& given)
{
    const auto limits = settings.workspaces.find(demand.workspace());
    if (limits == settings.workspaces.end())
    {
        return;
    }
    accounts_[demand.workspace()].stocks[vm] = demand.stock();
    auto& all = account(now, demand.workspace(), limits->second);
    all.left.add(now, demand.returned() * token_unit);
    // A VM keeps at most its part of what may be held, so that the rest is
    // there for whoever needs it at once; with many VMs that is nothing.
    const auto most = all.capacity * 3 / 4 / token_unit / all.stocks.size();
    const auto target = std::min(demand.wanted(), most) + demand.missing();
    const auto short_by = target - std::min(target, demand.stock());
    const auto left = all.left.tokens(now) / token_unit;
    const auto operations = std::min(short_by, left);
    all.left.take(now, operations * token_unit);
    all.stocks[vm] += operations;
    auto& grant = *given.Add();
    grant.set_workspace(demand.workspace());
    grant.set_operations(operations);
    // Asked for less than allowed, an empty account fills again at once.
    const bool calm = is_calm(all, allowance_of(limits->second, tolerance_));
    grant.set_empty(left == 0);
    grant.set_exhausted(left == 0 && !calm);
    grant.set_calm(left != 0 && calm);
}

void fleet_hub::add_positions(moment now, proto::FleetView& view) const
{
    for (const auto& [group, known] : positions_)
    {
        const auto age = to_ms(now - known.covers) + 1;
        if (milliseconds(age) < report_use)
        {
            auto& told = *view.add_positions();
            told = known.sample;
            told.set_age_ms(age);
        }
    }
}

} // namespace tanagerhoist

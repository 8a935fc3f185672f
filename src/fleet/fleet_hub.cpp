#include "tanagerhoist/fleet/fleet_hub.hpp"

#include "tanagerhoist/session/primary_right.hpp"
#include "tanagerhoist/session/workspace_limits.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Reports that are older say nothing about servers.
constexpr milliseconds report_use{1600};

/// Time over which most VMs must lack a primary before it is replaced.
constexpr milliseconds lost_for{250};

/// After this a silent VM no longer uses a dealt share.
constexpr milliseconds share_reclaim = share_duration + milliseconds(400);

/// Time in which a VM that knows of a seal has ended its use of the primary.
constexpr milliseconds after_news{500};

/// Age of its row at which a VM that does not report is taken to be gone for
/// the shares, though not for the primaries.
constexpr milliseconds silent_row{10000};

bool has_lapsed(const fleet_member& member, milliseconds store_now)
{
    return store_now > milliseconds(member.row.store_ms()) + right_duration +
                           right_slack;
}

constexpr std::uint64_t dealt_parts = share_parts - even_parts;

/// Demand that a VM is taken to have at least, in operations in 1,000 s, so
/// that a caller who comes finds a share.
constexpr std::uint64_t least_demand = 700;

std::uint64_t weight(std::uint64_t asked)
{
    return asked == 0 ? 0 : asked + least_demand;
}

} // namespace

void fleet_hub::begin(moment former_end)
{
    *this = fleet_hub();
    former_end_ = former_end;
}

void fleet_hub::take_report(moment now, const proto::VmReport& report)
{
    auto& vm = vms_[report.vm()];
    if (vm.report.life() != report.life())
    {
        for (auto& [name, grants] : grants_)
        {
            grants.by_vm.erase(report.vm()); // a new life has no shares
        }
    }
    vm.report = report;
    vm.heard = now;
    for (const auto& demand : report.demand())
    {
        auto& grant = grants_[demand.workspace()].by_vm[report.vm()];
        grant.confirmed = demand.parts();
        grant.asked = demand.asked_per_1000s();
    }
    for (const auto& sample : report.positions())
    {
        auto& known = positions_[sample.group()];
        const auto covers = now - milliseconds(sample.age_ms());
        if (sample.term() > known.sample.term() || covers > known.covers)
        {
            known.sample = sample;
            known.covers = covers;
        }
    }
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
                       [&lead](const proto::SealAck& ack)
                       {
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
    return std::all_of(
        members.rows.begin(), members.rows.end(),
        [&](const auto& entry)
        {
            const auto& member = entry.second;
            if (has_acked(lead, member))
            {
                return true;
            }
            // A row that is newer than the seal is of a VM that knew of it.
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
        const bool reports = report != vms_.end() &&
                             now < report->second.heard + report_use;
        if (!reports && has_lapsed(member, members.store_now))
        {
            found.push_back(vm);
        }
    }
    return found;
}

bool fleet_hub::may_hold_shares(const fleet_member& member,
                                milliseconds store_now) const
{
    const auto it = vms_.find(member.row.vm());
    const bool reports = it != vms_.end() &&
                         it->second.report.life() == member.row.life();
    return !reports &&
           store_now < milliseconds(member.row.store_ms()) + silent_row;
}

void fleet_hub::deal(moment now, const session_settings& settings,
                     const fleet_members& members)
{
    const auto store_now =
        members.store_now +
        std::chrono::duration_cast<milliseconds>(now - members.read_at);
    const bool unknown =
        std::any_of(members.rows.begin(), members.rows.end(),
                    [&](const auto& entry)
                    { return may_hold_shares(entry.second, store_now); });
    all_reported_ = now >= former_end_ + share_reclaim ||
                    (!members.rows.empty() && !unknown);
    if (!all_reported_)
    {
        return; // a VM not heard from may still use a share
    }
    for (const auto& [name, share] : settings.workspaces)
    {
        deal_workspace(now, name, share);
    }
}

/// Moves a workspace's share towards where it is asked for. What is taken from
/// a VM is given on once the VM says that it no longer uses it, or is silent
/// for so long that its share has ended.
void fleet_hub::deal_workspace(moment now, const std::string& workspace,
                               const session_workspace& share)
{
    auto& all = grants_[workspace];
    auto& grants = all.by_vm;
    std::uint64_t asked = 0; // of all VMs
    std::uint64_t used = 0;
    for (auto it = grants.begin(); it != grants.end();)
    {
        const auto vm = vms_.find(it->first);
        const auto& known = it->second;
        const bool unused =
            known.asked == 0 && known.parts == 0 && known.confirmed == 0;
        const bool ended = unused || vm == vms_.end() ||
                           now >= vm->second.heard + share_reclaim;
        if (ended)
        {
            it = grants.erase(it);
            continue;
        }
        asked += weight(it->second.asked);
        used += std::max(it->second.parts, it->second.confirmed);
        ++it;
    }
    constexpr double per_1000s = 1000;
    all.exhausted = static_cast<double>(asked) > share.rate * per_1000s;
    if (grants.empty())
    {
        return;
    }
    const std::uint64_t by_demand = dealt_parts;
    std::uint64_t free = dealt_parts - std::min(dealt_parts, used);
    for (auto& [vm, grant] : grants)
    {
        const std::uint64_t target =
            asked == 0 ? 0 : by_demand * weight(grant.asked) / asked;
        const auto held = std::max(grant.parts, grant.confirmed);
        if (target <= held)
        {
            grant.parts = target;
            continue;
        }
        const auto more = std::min(free, target - held);
        grant.parts = held + more;
        free -= more;
    }
}

void fleet_hub::add_shares(const std::string& vm, proto::FleetView& view) const
{
    if (!all_reported_)
    {
        return;
    }
    for (const auto& [workspace, grants] : grants_)
    {
        const auto it = grants.by_vm.find(vm);
        if (it != grants.by_vm.end())
        {
            auto& share = *view.add_shares();
            share.set_workspace(workspace);
            share.set_parts(it->second.parts);
            share.set_exhausted(grants.exhausted);
        }
    }
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

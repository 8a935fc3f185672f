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

bool has_lapsed(const fleet_contact& contact, milliseconds store_now)
{
    return store_now > milliseconds(contact.row.store_ms()) + right_duration +
                           right_slack;
}

constexpr std::uint64_t dealt_parts = share_parts - even_parts;

/// Demand that a VM is taken to have at least, in operations in 1,000 s, so
/// that a caller who comes finds a share.
constexpr std::uint64_t least_demand = 700;

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
            grants.erase(report.vm()); // a new life has no shares
        }
    }
    vm.report = report;
    vm.heard = now;
    for (const auto& demand : report.demand())
    {
        auto& grant = grants_[demand.workspace()][report.vm()];
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
                          const fleet_members& members,
                          const fleet_contacts& contacts) const
{
    if (now >= sealed + right_duration + right_slack)
    {
        return true; // every older right has ended by itself
    }
    return std::all_of(
        members.begin(), members.end(),
        [&](const auto& entry)
        {
            const auto& member = entry.second;
            if (member.version > seal_version || has_acked(lead, member))
            {
                return true;
            }
            const auto it = contacts.rows.find(entry.first);
            if (it == contacts.rows.end() || contacts.read_at < sealed)
            {
                return false;
            }
            // A renewal after the seal was written by a VM that knew of it.
            return it->second.version > seal_version
                       ? now >= contacts.read_at + after_news
                       : has_lapsed(it->second, contacts.store_now);
        });
}

std::vector<std::string>
fleet_hub::lapsed(moment now, const fleet_members& members,
                  const fleet_contacts& contacts) const
{
    std::vector<std::string> found;
    for (const auto& [vm, member] : members)
    {
        const auto report = vms_.find(vm);
        const bool reports = report != vms_.end() &&
                             now < report->second.heard + report_use;
        const auto it = contacts.rows.find(vm);
        if (!reports && it != contacts.rows.end() &&
            has_lapsed(it->second, contacts.store_now))
        {
            found.push_back(vm);
        }
    }
    return found;
}

void fleet_hub::deal(moment now, const session_settings& settings,
                     const fleet_members& members)
{
    all_reported_ =
        now >= former_end_ + share_reclaim ||
        std::all_of(members.begin(), members.end(),
                    [this](const auto& entry)
                    {
                        const auto it = vms_.find(entry.first);
                        return it != vms_.end() &&
                               it->second.report.life() ==
                                   entry.second.row.life();
                    });
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
    auto& grants = grants_[workspace];
    std::uint64_t asked = 0; // by all VMs
    std::uint64_t used = 0;
    for (auto it = grants.begin(); it != grants.end();)
    {
        const auto vm = vms_.find(it->first);
        const bool ended =
            vm == vms_.end() || now >= vm->second.heard + share_reclaim;
        if (ended)
        {
            it = grants.erase(it);
            continue;
        }
        asked += it->second.asked + least_demand;
        used += std::max(it->second.parts, it->second.confirmed);
        ++it;
    }
    static_cast<void>(share);
    if (grants.empty())
    {
        return;
    }
    const std::uint64_t by_demand = dealt_parts;
    std::uint64_t free = dealt_parts - std::min(dealt_parts, used);
    for (auto& [vm, grant] : grants)
    {
        const std::uint64_t target =
            by_demand * (grant.asked + least_demand) / asked;
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
        const auto it = grants.find(vm);
        if (it != grants.end())
        {
            auto& share = *view.add_shares();
            share.set_workspace(workspace);
            share.set_parts(it->second.parts);
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

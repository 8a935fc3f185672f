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

/// Within this time a VM that knows of a seal has stopped using the primary.
constexpr milliseconds seal_propagation_time{500};

bool is_lease_expired(const fleet_member& member, milliseconds store_now)
{
    return store_now > milliseconds(member.row.store_ms()) +
                           primary_lease_duration + primary_lease_margin;
}

} // namespace

fleet_coordinator::fleet_coordinator(limit_tolerance tolerance,
                                     bool first_start, warmup_tolerance warmup,
                                     bool paces)
    : grantor_(tolerance, first_start),
      warmup_tolerance_(warmup),
      standings_(paces)
{
}

void fleet_coordinator::reset(moment now, std::uint64_t token,
                              const proto::DutyRow& former, std::size_t members)
{
    grantor_.begin_term(now, token, former, members);
    warmup_ledger_.reset(now);
    standings_.reset();
    vms_.clear();
    unreachable_since_.clear();
    positions_.clear();
    seal_waits_.clear();
}

void fleet_coordinator::apply_report(moment now, const proto::VmReport& report)
{
    grantor_.apply_report(now, report);
    auto& vm = vms_[report.vm()];
    if (!vm.messages.accept(report.life(), report.sequence()))
    {
        return; // duplicate or out of date
    }
    standings_.apply(now, report);
    vm.report = report;
    vm.report.clear_server_news();
    vm.heard = now;
    take_positions(vm);
}

std::uint64_t fleet_coordinator::servers_version(const std::string& vm) const
{
    const auto it = vms_.find(vm);
    return it == vms_.end() ? 0 : it->second.report.servers_version();
}

std::uint64_t fleet_coordinator::settings_version(const std::string& vm) const
{
    const auto it = vms_.find(vm);
    return it == vms_.end() ? 0 : it->second.report.settings_version();
}

/// Applies the reported positions. A position is dated from the send time of
/// the view that the report names, since the report was sent after that view,
/// however long its delivery took. A view of a former coordinator may have the
/// number of one of this one's.
void fleet_coordinator::take_positions(const vm_state& vm)
{
    const auto view = vm.views.find(vm.report.view());
    if (view == vm.views.end() || vm.report.token() != grantor_.token())
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
        return members.answered_at + seal_propagation_time;
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

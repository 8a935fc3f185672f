#include "tanagerhoist/fleet/operation_grantor.hpp"

#include "tanagerhoist/session/primary_lease.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// A VM that has not reported for this long is assumed to hold no grants.
constexpr milliseconds stock_timeout{10000};
constexpr milliseconds silent_check_interval{200};

/// A VM that has not reported for this long may have lost the coordinator.
constexpr milliseconds silent_after{700};

/// A VM without a coordinator admits operations for this long: reports may be
/// on their way.
constexpr milliseconds standalone_time = longest_standalone + silent_after;

static_assert(longest_granting_after_term <= standalone_time,
              "a successor withholds what its predecessor may grant");

} // namespace

operation_grantor::operation_grantor(limit_tolerance tolerance,
                                     bool first_start)
    : ledger_(tolerance, first_start)
{
}

void operation_grantor::begin_term(moment now, std::uint64_t token,
                                   const proto::DutyRow& former,
                                   std::size_t members)
{
    const bool goes_on = is_soon_after_term(now) && former.token() == token_;
    token_ = token;
    members_ = members;
    in_term_ = true;
    if (goes_on)
    {
        return;
    }
    ledger_.reset(now, former);
    begun_ = now;
    first_holder_ = former.token() == 0;
    joined_ = 0;
    reporting_ = 0;
    vms_.clear();
}

void operation_grantor::use_term(moment now, bool runs)
{
    if (in_term_ && !runs)
    {
        silent_checked_ = moment{}; // who is silent matters at once
        check_silent_vms(now);
    }
    in_term_ = runs;
}

void operation_grantor::note_token(std::uint64_t token)
{
    newest_token_ = std::max(newest_token_, token);
}

bool operation_grantor::is_granting(moment now) const
{
    return in_term_ || (newest_token_ <= token_ && is_soon_after_term(now));
}

bool operation_grantor::is_soon_after_term(moment now) const
{
    return token_ != 0 && now < term_end_ + longest_granting_after_term;
}

/// Notes a message that a VM has sent.
/// @param token newest one that the VM had heard
void operation_grantor::note_heard(moment now, const std::string& name,
                                   std::uint64_t token, vm_state& vm)
{
    vm.heard = now;
    vm.gone = false;
    if (!vm.joined && token >= token_)
    {
        vm.joined = true;
        ++joined_;
    }
    if (vm.standalone)
    {
        vm.standalone = false;
        ledger_.set_standalone(name, false);
    }
}

void operation_grantor::apply_report(moment now, const proto::VmReport& report)
{
    auto& vm = vms_[report.vm()];
    const auto life = vm.messages.life();
    if (!vm.messages.accept(report.life(), report.sequence()))
    {
        return; // duplicate or out of date
    }
    if (life != report.life())
    {
        ledger_.forget(report.vm()); // a restarted VM holds nothing
    }
    vm.demand = report.demand();
    note_heard(now, report.vm(), report.token(), vm);
}

/// Part of the limits that is granted on request rather than split evenly. It
/// is all of them in a large fleet, whose VMs have no even share.
std::uint64_t operation_grantor::coordinator_share_parts() const
{
    return vms_.size() >= large_fleet ? share_parts
                                      : share_parts - even_share_parts;
}

/// Notes which VMs may have lost the coordinator, and forgets the grants of
/// those that have been silent for long.
void operation_grantor::check_silent_vms(moment now)
{
    if (now < silent_checked_ + silent_check_interval)
    {
        return;
    }
    silent_checked_ = now;
    reporting_ = 0;
    for (auto& [name, vm] : vms_)
    {
        const bool silent = now >= vm.heard + silent_after;
        reporting_ += silent ? 0 : 1;
        const bool standalone = silent && now < vm.heard + standalone_time;
        if (standalone != vm.standalone)
        {
            vm.standalone = standalone;
            ledger_.set_standalone(name, standalone);
        }
        if (!vm.gone && now >= vm.heard + stock_timeout)
        {
            vm.gone = true;
            ledger_.forget(name);
        }
    }
}

/// Reduces the parts that are granted. In the term, by those of VMs that have
/// not joined a new coordinator: the former one may still grant to them, or
/// they admit what it told them. After the term, by those of VMs that are
/// silent: a successor may grant to them.
std::uint64_t operation_grantor::heard_parts(moment now,
                                             std::uint64_t parts) const
{
    const bool all_joined =
        first_holder_ || now >= begun_ + standalone_time || joined_ >= members_;
    const auto joined = all_joined ? members_ : joined_;
    const auto counted = in_term_ ? joined : std::min(joined, reporting_);
    return counted >= members_ ? parts : parts * counted / members_;
}

void operation_grantor::grant(moment now, const session_settings& settings,
                              const std::string& vm, grants& given)
{
    const auto it = vms_.find(vm);
    if (it == vms_.end())
    {
        return;
    }
    demands wanted;
    wanted.Swap(&it->second.demand); // must not be granted twice
    for (const auto& demand : wanted)
    {
        ledger_.note_rate(now, vm, demand.workspace(),
                          demand.asked_per_1000s());
    }
    grant_demand(now, settings, vm, wanted, given);
}

bool operation_grantor::grant(moment now, const session_settings& settings,
                              const proto::GrantRequest& request, grants& given)
{
    const auto it = vms_.find(request.vm());
    if (it == vms_.end() || it->second.messages.life() != request.life() ||
        !it->second.messages.accept(request.life(), request.sequence()))
    {
        return false;
    }
    note_heard(now, request.vm(), request.token(), it->second);
    grant_demand(now, settings, request.vm(), request.demand(), given);
    return true;
}

void operation_grantor::grant_demand(moment now,
                                     const session_settings& settings,
                                     const std::string& vm,
                                     const demands& wanted, grants& given)
{
    check_silent_vms(now);
    ledger_.use_parts(heard_parts(now, coordinator_share_parts()));
    for (const auto& demand : wanted)
    {
        const auto limits = settings.workspaces.find(demand.workspace());
        if (limits != settings.workspaces.end())
        {
            auto& grant = *given.Add();
            grant = ledger_.grant(now, limits->second, vm, demand);
            if (!in_term_)
            {
                // A successor would not wait for the VM's use of it.
                grant.clear_standalone_at_once();
                grant.clear_standalone_per_1000s();
            }
        }
    }
}

} // namespace tanagerhoist

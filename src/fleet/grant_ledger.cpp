#include "tanagerhoist/fleet/grant_ledger.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{
namespace
{

/// Part of the rate up to which a workspace counts as below its limit.
constexpr double calm_part = 0.8;

constexpr double per_1000s = 1000; ///< rates in messages are per 1,000 s

// Operations that all VMs together may admit at once when they have lost the
// coordinator, as parts of the burst and of the tolerated excess. What is left
// of both covers what the coordinator has granted just before.
constexpr double standalone_burst = 0.8;
constexpr double standalone_excess = 0.25;

/// Demand that a VM may admit at once, in addition to one operation.
constexpr double standalone_demand_s = 0.5;

/// A VM that has had no demand for this long holds no grants and no longer
/// relies on what it was told.
constexpr milliseconds idle_after = standalone_lifetime + milliseconds(1000);
constexpr milliseconds idle_check_interval{1000};

} // namespace

std::uint64_t standalone_limit(const session_workspace& limits,
                               const limit_tolerance& tolerance)
{
    return static_cast<std::uint64_t>(standalone_burst * limits.burst +
                                      standalone_excess *
                                          tolerated_excess(limits, tolerance));
}

grant_ledger::grant_ledger(limit_tolerance tolerance, bool first_start)
    : tolerance_(tolerance), first_start_(first_start)
{
}

void grant_ledger::reset(moment now, const proto::DutyRow& former)
{
    begun_ = now;
    former_balances_.clear();
    for (const auto& balance : former.left())
    {
        former_balances_[balance.workspace()] = balance.operations();
    }
    first_start_ = first_start_ && former.token() == 0;
    accounts_.clear();
}

std::vector<proto::WorkspaceBalance> grant_ledger::balances(moment now) const
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

grant_ledger::holding& grant_ledger::holding_of(account& of,
                                                const std::string& vm)
{
    return of.vms.try_emplace(vm).first->second;
}

void grant_ledger::set_stock(account& of, holding& held, std::uint64_t stock)
{
    of.stock += stock - held.stock;
    held.stock = stock;
}

void grant_ledger::note_rate(moment now, const std::string& vm,
                             const std::string& workspace,
                             std::uint64_t per_1000s)
{
    auto& account = accounts_[workspace];
    auto& held = holding_of(account, vm);
    held.asked = now;
    account.requested_per_1000s += per_1000s - held.requested_per_1000s;
    held.requested_per_1000s = per_1000s;
}

void grant_ledger::forget(const std::string& vm)
{
    for (auto& [workspace, account] : accounts_)
    {
        erase(account, vm);
    }
}

void grant_ledger::erase(account& of, const std::string& vm)
{
    const auto it = of.vms.find(vm);
    if (it == of.vms.end())
    {
        return;
    }
    const auto& held = it->second;
    of.stock -= held.stock;
    of.requested_per_1000s -= held.requested_per_1000s;
    of.standalone_at_once -= held.standalone_at_once;
    of.standalone_per_1000s -= held.standalone ? held.standalone_per_1000s : 0;
    of.vms.erase(it);
}

/// Forgets VMs that have no demand for the workspace any more.
void grant_ledger::erase_idle(moment now, account& of)
{
    if (now < of.idle_checked + idle_check_interval)
    {
        return;
    }
    of.idle_checked = now;
    std::vector<std::string> idle;
    for (const auto& [vm, held] : of.vms)
    {
        if (!held.standalone && now >= held.asked + idle_after)
        {
            idle.push_back(vm);
        }
    }
    for (const auto& vm : idle)
    {
        erase(of, vm);
    }
}

void grant_ledger::set_standalone(const std::string& vm, bool standalone)
{
    for (auto& [workspace, account] : accounts_)
    {
        const auto it = account.vms.find(vm);
        if (it == account.vms.end() || it->second.standalone == standalone)
        {
            continue;
        }
        it->second.standalone = standalone;
        const auto rate = it->second.standalone_per_1000s;
        account.standalone_per_1000s += standalone ? rate : -rate;
    }
}

/// Updates an account to the present limits.
void grant_ledger::update(moment now, account& of, const std::string& workspace,
                          const fleet_allowance& allowed)
{
    of.capacity =
        static_cast<std::uint64_t>(allowed.capacity * token_unit *
                                   static_cast<double>(parts_) / share_parts);
    // Operations that VMs hold count towards the capacity.
    of.available.set_min_capacity(of.capacity -
                                  std::min(of.capacity, of.stock * token_unit));
    // VMs without a coordinator admit a part of the rate themselves.
    const auto standalone = static_cast<std::uint64_t>(
        static_cast<double>(of.standalone_per_1000s) /
        std::max(1.0, allowed.rate * per_1000s) * share_parts);
    of.available.use_share(now, static_cast<std::uint64_t>(allowed.rate), 0,
                           parts_ - std::min(parts_, standalone));
    if (!of.known)
    {
        of.known = true;
        // If the previous holder did not release the lease, nothing is carried
        // over: VMs have admitted operations without a coordinator since.
        const auto earned = former_balances_[workspace] * token_unit;
        of.available.clear();
        of.available.add(now, first_start_ ? of.capacity
                                           : std::min(of.capacity, earned));
    }
}

bool grant_ledger::is_below_limit(const account& of,
                                  const fleet_allowance& allowed)
{
    return static_cast<double>(of.requested_per_1000s) <
           calm_part * allowed.rate * per_1000s;
}

proto::WorkspaceGrant grant_ledger::grant(moment now,
                                          const session_workspace& limits,
                                          const std::string& vm,
                                          const proto::WorkspaceDemand& demand)
{
    const auto allowed = allowance_of(limits, tolerance_);
    auto& account = accounts_[demand.workspace()];
    auto& held = holding_of(account, vm);
    held.asked = now;
    erase_idle(now, account);
    set_stock(account, held, demand.stock());
    update(now, account, demand.workspace(), allowed);
    account.available.add(now, demand.returned() * token_unit);
    // A VM's stock is limited to an equal part of 3/4 of the capacity, so that
    // the rest is available for sudden demand; with many VMs the limit is 0.
    const auto most =
        account.capacity * 3 / 4 / token_unit / account.vms.size();
    const auto target = std::min(demand.wanted(), most) + demand.missing();
    const auto short_by = target - std::min(target, demand.stock());
    const auto left = account.available.tokens(now) / token_unit;
    const auto operations = std::min(short_by, left);
    account.available.take(now, operations * token_unit);
    set_stock(account, held, held.stock + operations);
    proto::WorkspaceGrant grant;
    grant.set_workspace(demand.workspace());
    grant.set_operations(operations);
    // While less is asked for than allowed, an empty account refills soon and
    // is not reported as exhausted.
    const bool calm = is_below_limit(account, allowed);
    grant.set_empty(left == 0);
    grant.set_exhausted(left == 0 && !calm);
    grant.set_calm(left != 0 && calm);
    add_standalone(now, account, held, limits, calm, grant);
    return grant;
}

/// Tells what the VM may admit if it loses the coordinator. All VMs together
/// may admit the limit's rate, and a part of the burst at once.
void grant_ledger::add_standalone(moment now, account& of, holding& held,
                                  const session_workspace& limits, bool calm,
                                  proto::WorkspaceGrant& grant) const
{
    if (held.standalone)
    {
        of.standalone_per_1000s -= held.standalone_per_1000s;
        held.standalone = false;
    }
    const auto requested = static_cast<double>(held.requested_per_1000s);
    const auto all =
        static_cast<double>(std::max<std::uint64_t>(1, of.requested_per_1000s));
    const double rate = limits.rate * per_1000s * static_cast<double>(parts_) /
                        share_parts * requested / all;
    held.standalone_per_1000s = calm ? static_cast<std::uint64_t>(rate) : 0;
    // What was told before a VM lost the coordinator may just have been used.
    if (calm && now >= begun_ + tolerance_.window)
    {
        const auto most = standalone_limit(limits, tolerance_);
        const auto others = of.standalone_at_once - held.standalone_at_once;
        const auto wanted =
            1 + static_cast<std::uint64_t>(requested / per_1000s *
                                           standalone_demand_s);
        // What a VM was told before counts until it restarts: it may not hear
        // that it is less now.
        const auto told =
            std::max(held.standalone_at_once,
                     std::min(wanted, most - std::min(most, others)));
        of.standalone_at_once = others + told;
        held.standalone_at_once = told;
        grant.set_standalone_at_once(told);
    }
    grant.set_standalone_per_1000s(held.standalone_per_1000s);
}

} // namespace tanagerhoist

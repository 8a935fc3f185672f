#include "tanagerhoist/fleet/grant_ledger.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{

grant_ledger::grant_ledger(limit_tolerance tolerance, bool first_start)
    : tolerance_(tolerance), first_start_(first_start)
{
}

void grant_ledger::reset(const proto::DutyRow& former)
{
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

void grant_ledger::note_rate(const std::string& vm,
                             const std::string& workspace,
                             std::uint64_t per_1000s)
{
    auto& account = accounts_[workspace];
    auto& held = holding_of(account, vm);
    account.requested_per_1000s += per_1000s - held.requested_per_1000s;
    held.requested_per_1000s = per_1000s;
}

void grant_ledger::forget(const std::string& vm)
{
    for (auto& [workspace, account] : accounts_)
    {
        const auto it = account.vms.find(vm);
        if (it != account.vms.end())
        {
            account.stock -= it->second.stock;
            account.requested_per_1000s -= it->second.requested_per_1000s;
            account.vms.erase(it);
        }
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
    of.available.use_share(now, static_cast<std::uint64_t>(allowed.rate), 0,
                           parts_);
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
    constexpr double calm_part = 0.8;
    constexpr double per_1000s = 1000;
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
    return grant;
}

} // namespace tanagerhoist

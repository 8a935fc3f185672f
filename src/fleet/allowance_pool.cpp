#include "tanagerhoist/fleet/allowance_pool.hpp"

#include "tanagerhoist/fleet/grant_ledger.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Length of the time whose operations are kept as one sum.
constexpr milliseconds portion_length{100};

/// Part of the handed operations that is granted. The rest is a reserve for
/// what was granted just before the coordinator was lost.
constexpr double granted_part = 0.95;

/// Time whose operations lie at VMs, which hand them over at their interval.
constexpr std::chrono::duration<double> kept_at_vms = handover_interval / 2;

/// Without messages for this long no VM uses this deputy.
constexpr milliseconds unused_after{2000};

} // namespace

void allowance_pool::use_token(std::uint64_t token)
{
    if (token > token_)
    {
        token_ = token;
        accounts_.clear();
    }
}

bool allowance_pool::is_serving(moment now) const
{
    return served_ != moment{} && now < served_ + unused_after;
}

void allowance_pool::remove(account& of, std::uint64_t millionths)
{
    of.millionths -= millionths;
    while (millionths != 0)
    {
        auto& oldest = of.portions.front();
        const auto part = std::min(oldest.millionths, millionths);
        oldest.millionths -= part;
        millionths -= part;
        if (oldest.millionths == 0)
        {
            of.portions.pop_front();
        }
    }
}

/// Removes what is too old. A workspace with a low rate keeps one operation,
/// which takes longer to come together.
void allowance_pool::remove_old(moment now, account& of)
{
    while (!of.portions.empty() && of.millionths > token_unit &&
           now >= of.portions.front().begun + handed_lifetime)
    {
        remove(of, std::min(of.portions.front().millionths,
                            of.millionths - token_unit));
    }
}

/// Operations of a workspace that may lie in the pool: with those that lie at
/// VMs, as many as all VMs may admit at once when they lose the coordinator.
std::uint64_t allowance_pool::most(const session_workspace& limits) const
{
    const auto at_once =
        static_cast<double>(standalone_limit(limits, tolerance_));
    return static_cast<std::uint64_t>(
        token_unit *
        std::max(1.0, at_once - kept_at_vms.count() * limits.rate));
}

void allowance_pool::add(moment now, account& of,
                         const session_workspace& limits,
                         std::uint64_t millionths) const
{
    if (millionths == 0)
    {
        return;
    }
    if (of.portions.empty() || now >= of.portions.back().begun + portion_length)
    {
        of.portions.push_back({now, 0});
    }
    of.portions.back().millionths += millionths;
    of.millionths += millionths;
    remove(of, of.millionths - std::min(of.millionths, most(limits)));
}

bool allowance_pool::use_handover(moment now, const session_settings& settings,
                                  const proto::OperationHandover& handover,
                                  proto::HandoverReply& reply)
{
    auto& from = senders_[handover.vm()];
    if (from.life == handover.life() && handover.sequence() <= from.sequence)
    {
        return false;
    }
    from = {handover.life(), handover.sequence()};
    served_ = now;
    use_token(handover.token());
    reply.set_life(handover.life());
    reply.set_sequence(handover.sequence());
    for (const auto& handed : handover.operations())
    {
        const auto limits = settings.workspaces.find(handed.workspace());
        if (limits == settings.workspaces.end())
        {
            continue;
        }
        auto& account = accounts_[handed.workspace()];
        if (limits->second.rate < account.rate)
        {
            account = {}; // was handed over under the higher limit
        }
        account.rate = limits->second.rate;
        handed_millionths_ += handed.millionths();
        remove_old(now, account);
        add(now, account, limits->second,
            static_cast<std::uint64_t>(
                static_cast<double>(handed.millionths()) * granted_part));
        const auto operations =
            std::min(handed.missing(), account.millionths / token_unit);
        remove(account, operations * token_unit);
        granted_ += operations;
        if (operations != 0)
        {
            auto& grant = *reply.add_grants();
            grant.set_workspace(handed.workspace());
            grant.set_operations(operations);
        }
    }
    return true;
}

} // namespace tanagerhoist

#include "tanagerhoist/fleet/warmup_ledger.hpp"

#include <algorithm>
#include <iterator>

namespace tanagerhoist
{
namespace
{

/// Allowance for the drift of clocks, and for a VM's turn of the loop between
/// the check of a permit and the sending.
constexpr milliseconds sending_margin{100};

/// Grants within this span may all be used within one second.
constexpr milliseconds accounted_span =
    std::chrono::seconds(1) + permit_lifetime + sending_margin;

/// Grants that a VM with steady demand needs in `accounted_span`: one in each
/// of its reports.
constexpr std::uint64_t grants_per_span = 4;

} // namespace

void warmup_ledger::reset(moment now)
{
    accounts_.clear();
    begun_ = now;
}

/// Forgets servers whose warm-up has ended.
void warmup_ledger::forget_idle(moment now)
{
    for (auto it = accounts_.begin(); it != accounts_.end();)
    {
        forget_old(now, it->second);
        const bool idle = it->second.vms.empty() && it->second.grants.empty();
        it = idle ? accounts_.erase(it) : std::next(it);
    }
}

void warmup_ledger::forget_old(moment now, account& of)
{
    const auto oldest = now - accounted_span;
    while (!of.grants.empty() && of.grants.front().at < oldest)
    {
        of.sum -= of.grants.front().requests;
        of.grants.pop_front();
    }
    for (auto it = of.vms.begin(); it != of.vms.end();)
    {
        it = it->second.asked < oldest ? of.vms.erase(it) : std::next(it);
    }
}

void warmup_ledger::add_credit(moment now, account& of, std::uint64_t limit)
{
    const auto most = std::max(1.0, static_cast<double>(limit) /
                                        static_cast<double>(grants_per_span));
    const auto passed =
        std::min<microseconds>(now - of.credited, accounted_span);
    const double spans = std::chrono::duration<double>(passed) /
                         std::chrono::duration<double>(accounted_span);
    of.credit = std::min(most, of.credit + spans * static_cast<double>(limit));
    of.credited = now;
}

std::uint64_t warmup_ledger::grant(moment now, const std::string& server,
                                   std::uint64_t limit, const std::string& vm,
                                   std::uint64_t wanted)
{
    if (accounts_.count(server) == 0)
    {
        forget_idle(now);
    }
    auto& of = accounts_[server];
    forget_old(now, of);
    auto& asking = of.vms[vm];
    asking.asked = now;
    if (limit == 0 || now <= begun_ + accounted_span)
    {
        return 0;
    }
    add_credit(now, of, limit);
    const auto turn = accounted_span * of.vms.size() / limit;
    if (of.sum >= limit || now < asking.granted + turn)
    {
        return 0;
    }
    const auto share =
        std::max<std::uint64_t>(1, limit / (grants_per_span * of.vms.size()));
    const auto credit = static_cast<std::uint64_t>(of.credit);
    const auto given = std::min({wanted, share, credit, limit - of.sum});
    if (given > 0)
    {
        asking.granted = now;
        of.credit -= static_cast<double>(given);
        of.grants.push_back({now, given});
        of.sum += given;
    }
    return given;
}

} // namespace tanagerhoist

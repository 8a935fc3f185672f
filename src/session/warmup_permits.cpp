#include "tanagerhoist/session/warmup_permits.hpp"

#include <algorithm>
#include <iterator>

namespace tanagerhoist
{
namespace
{

/// Status queries of coordinators that a server may get in a second.
constexpr double control_reserve = 2;

/// Limits above this are as good as none.
constexpr double highest_limit = 1'000'000;

} // namespace

std::uint64_t warmup_limit(const session_group& group,
                           const warmup_tolerance& tolerance)
{
    const double allowed =
        group.warmup_rate * tolerance.overage + tolerance.slack;
    return static_cast<std::uint64_t>(
        std::min(highest_limit, std::max(0.0, allowed - control_reserve)));
}

void warmup_permits::add(const std::string& server, std::uint64_t requests,
                         moment expires)
{
    if (requests > 0)
    {
        stocks_[server][expires] += requests;
    }
}

std::uint64_t warmup_permits::available(moment now,
                                        const std::string& server) const
{
    const auto held = stocks_.find(server);
    if (held == stocks_.end())
    {
        return 0;
    }
    std::uint64_t sum = 0;
    const auto& stock = held->second;
    for (auto it = stock.upper_bound(now); it != stock.end(); ++it)
    {
        sum += it->second;
    }
    return sum;
}

bool warmup_permits::take(moment now, const std::string& server)
{
    const auto held = stocks_.find(server);
    if (held == stocks_.end())
    {
        return false;
    }
    auto& stock = held->second;
    stock.erase(stock.begin(), stock.upper_bound(now));
    if (stock.empty())
    {
        stocks_.erase(held);
        return false;
    }
    const auto first = stock.begin();
    --first->second;
    if (first->second == 0)
    {
        stock.erase(first);
    }
    return true;
}

void warmup_permits::describe(moment now, proto::VmReport& report)
{
    for (const auto& [server, requests] : demand_)
    {
        auto& demand = *report.add_warmup_demand();
        demand.set_server(server);
        demand.set_requests(requests);
    }
    demand_.clear();
    for (auto it = stocks_.begin(); it != stocks_.end();)
    {
        const bool lapsed = available(now, it->first) == 0;
        it = lapsed ? stocks_.erase(it) : std::next(it);
    }
}

} // namespace tanagerhoist

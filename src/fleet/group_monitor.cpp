#include "tanagerhoist/fleet/group_monitor.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// How long the server list must contradict a lead before the lead is replaced;
/// the list lags behind a promotion.
constexpr milliseconds outdated_lead_timeout{2500};

} // namespace

group_action group_monitor::next_action(moment now, const std::string& group,
                                        const proto::GroupLead* lead,
                                        const server_list& servers,
                                        bool unreachable)
{
    if (is_running(group))
    {
        return group_action::none;
    }
    if (lead == nullptr)
    {
        return group_action::create_lead;
    }
    const auto primary = servers.find(lead->primary());
    if (primary != servers.end() && primary->second.draining)
    {
        return group_action::replace_planned;
    }
    const bool replace =
        lead->sealed() || unreachable || is_lead_outdated(now, *lead, servers);
    return replace ? group_action::replace_primary : group_action::none;
}

/// Whether the server list has named another server as primary for some time.
bool group_monitor::is_lead_outdated(moment now, const proto::GroupLead& lead,
                                     const server_list& servers)
{
    const auto primary = servers.find(lead.primary());
    const bool claims =
        primary != servers.end() && primary->second.claims_primary;
    const bool another = std::any_of(servers.begin(), servers.end(),
                                     [&lead](const auto& entry)
                                     {
                                         const auto& [id, server] = entry;
                                         return server.group == lead.group() &&
                                                server.claims_primary &&
                                                id != lead.primary();
                                     });
    auto& outdated = outdated_[lead.group()];
    outdated.update(now, another && !claims);
    return outdated.has_lasted(now, outdated_lead_timeout);
}

void group_monitor::operation_ended(const std::string& group)
{
    running_.erase(group);
    outdated_.erase(group);
}

} // namespace tanagerhoist

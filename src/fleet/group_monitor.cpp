#include "tanagerhoist/fleet/group_monitor.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// How long the server list must contradict a lead before the lead is replaced;
/// the list lags behind a promotion.
constexpr milliseconds outdated_lead_timeout{2500};

/// Whether the primary's data centre is evacuated and its group has a server in
/// another one.
bool can_leave_evacuated(const backend_server& primary,
                         const server_list& servers)
{
    return primary.is_evacuated() &&
           std::any_of(servers.begin(), servers.end(),
                       [&primary](const auto& entry)
                       {
                           const auto& server = entry.second;
                           return server.group == primary.group &&
                                  !server.is_evacuated();
                       });
}

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
    if (primary != servers.end() &&
        (primary->second.draining ||
         can_leave_evacuated(primary->second, servers)))
    {
        return group_action::replace_planned;
    }
    if (lead->sealed() || unreachable)
    {
        return group_action::replace_primary;
    }
    return action_by_list(now, *lead, servers);
}

/// What to do if the server list has contradicted the lead for some time: it
/// names another server as primary, or none and the lead's primary as a
/// replica, which the list may say of a server that can't reach the store.
group_action group_monitor::action_by_list(moment now,
                                           const proto::GroupLead& lead,
                                           const server_list& servers)
{
    const auto primary = servers.find(lead.primary());
    const bool listed = primary != servers.end();
    const bool claims = listed && primary->second.claims_primary;
    const bool another = std::any_of(servers.begin(), servers.end(),
                                     [&lead](const auto& entry)
                                     {
                                         const auto& [id, server] = entry;
                                         return server.group == lead.group() &&
                                                server.claims_primary &&
                                                id != lead.primary();
                                     });
    auto& outdated = outdated_[lead.group()];
    outdated.update(now, (another || listed) && !claims);
    if (!outdated.has_lasted(now, outdated_lead_timeout))
    {
        return group_action::none;
    }
    return another ? group_action::replace_primary
                   : group_action::verify_primary;
}

void group_monitor::operation_ended(const std::string& group)
{
    running_.erase(group);
    outdated_.erase(group);
}

} // namespace tanagerhoist

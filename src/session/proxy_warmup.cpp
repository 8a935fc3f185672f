#include "tanagerhoist/session/proxy.hpp"

#include <algorithm>

// Servers in their warm-up, to which all VMs together send only so much.
namespace tanagerhoist
{

/// Whether the rate of requests to the server is limited now.
bool proxy::is_warming(moment now, const server_state& server) const
{
    if (!settings_)
    {
        return false;
    }
    const auto group = settings_->groups.find(server.server.group);
    return group != settings_->groups.end() && group->second.warmup_rate > 0 &&
           server.is_warming(now, group->second.warmup);
}

/// Whether a further statement may be placed at the server. Those for which
/// connections are being opened have yet to use their permits.
bool proxy::may_use(moment now, const server_state& server)
{
    const auto& id = server.server.id;
    if (!is_warming(now, server) ||
        warmup_permits_.available(now, id) > server.opening)
    {
        return true;
    }
    warmup_permits_.note_demand(id);
    return false;
}

bool proxy::take_warmup_permit(moment now, const std::string& server)
{
    const auto* state = find_server(server);
    if (state == nullptr || !is_warming(now, *state))
    {
        return true;
    }
    warmup_permits_.note_demand(server);
    const bool permitted = warmup_permits_.take(now, server);
    figures_.warmup_requests += permitted ? 1 : 0;
    figures_.warmup_refusals += permitted ? 0 : 1;
    return permitted;
}

void proxy::use_warmup_permits(moment now, moment expires,
                               const warmup_permits::permits& given)
{
    if (given.empty())
    {
        return;
    }
    for (const auto& permit : given)
    {
        warmup_permits_.add(permit.server(), permit.requests(), expires);
    }
    run_pass(now,
             [&]
             {
                 send_permitted(now);
                 for (const auto& permit : given)
                 {
                     dispatch_group_of(now, permit.server());
                 }
             });
}

/// Sends the statements that waited at their connections for a permit.
void proxy::send_permitted(moment now)
{
    std::vector<connection_id> waiting;
    for (const auto& [id, connection] : connections_)
    {
        if (connection.phase == connection_phase::running && !connection.busy &&
            !connection.script.empty())
        {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting)
    {
        const auto it = connections_.find(id);
        if (it == connections_.end())
        {
            continue;
        }
        if (sessions_.count(it->second.owner) == 0)
        {
            close_connection(id); // its client has gone
            continue;
        }
        send_next(now, id, it->second);
    }
}

/// Logs the servers whose warm-up has begun or ended.
void proxy::note_warmups(moment now)
{
    for (const auto& [id, state] : servers_)
    {
        const bool warming = is_warming(now, state);
        const bool known = warming_.count(id) != 0;
        if (warming == known)
        {
            continue;
        }
        log_.write(log_level::change,
                   warming ? "server_warming" : "server_warm",
                   {{"server", id}, {"group", state.server.group}});
        if (warming)
        {
            warming_.insert(id);
        }
        else
        {
            warming_.erase(id);
        }
    }
    figures_.servers_warming = warming_.size();
}

} // namespace tanagerhoist

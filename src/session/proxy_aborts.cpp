#include "tanagerhoist/session/proxy.hpp"

// Work at servers that is ended before its answer.
namespace tanagerhoist
{

/// Aborts statements at sealed primaries after the grace period, or at once if
/// the server is failing.
void proxy::abort_at_sealed_primaries(moment now)
{
    for (const auto& [name, lead] : leads_)
    {
        if (!lead.sealed())
        {
            continue;
        }
        const auto* state = server(lead.primary());
        const bool dead = state == nullptr || state->is_failing();
        if (dead || is_seal_grace_over(now, lead))
        {
            abort_running_at(now, lead.primary(), true);
        }
    }
}

/// Ends all that would send more to servers that are closed. Statements that
/// only wait for their answer go on.
void proxy::abort_at_closed_servers(moment now)
{
    std::vector<connection_id> leaving;
    for (const auto& [id, connection] : connections_)
    {
        const auto* server = find_server(connection.server);
        const bool sends_no_more = connection.busy && connection.script.empty();
        if (server != nullptr && server->server.is_closed(now) &&
            !sends_no_more)
        {
            leaving.push_back(id);
        }
    }
    for (const auto id : leaving)
    {
        if (connections_.count(id) != 0)
        {
            abort_running(now, id);
        }
    }
}

/// Aborts running statements at a server that is no longer the primary.
/// @param writes true: statements that require the primary; false: statements
/// that cannot have had an effect
void proxy::abort_running_at(moment now, const std::string& server, bool writes)
{
    for (const auto id : connections_of(server))
    {
        const auto it = connections_.find(id);
        if (it == connections_.end() ||
            it->second.phase != connection_phase::running)
        {
            continue;
        }
        const auto session = sessions_.find(it->second.owner);
        const bool primary_use =
            session == sessions_.end() || session->second.request.needs_primary;
        const bool effect =
            session != sessions_.end() && session->second.request.writes;
        if (writes ? primary_use : !effect)
        {
            abort_running(now, id);
        }
    }
}

/// Closes a connection that is in use without marking its server as failing.
void proxy::abort_running(moment now, connection_id id)
{
    const auto it = connections_.find(id);
    const auto owner = it->second.owner;
    const bool sent = it->second.runs_request();
    close_connection(id);
    const auto found = sessions_.find(owner);
    if (found == sessions_.end())
    {
        return;
    }
    auto& session = found->second;
    if (session.request.stage == request_stage::running &&
        session.request.connection == id)
    {
        handle_lost_connection(now, owner, session, sent);
    }
    else if (session.request.stage == request_stage::opening &&
             session.request.connection == id)
    {
        requeue(owner, session, "");
        dispatch(now, session.group);
    }
    else if (session.pinned == id)
    {
        session.pinned = 0;
        session.aborted = true;
    }
}

} // namespace tanagerhoist

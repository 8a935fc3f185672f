#include "tanagerhoist/session/proxy.hpp"

// What becomes of a connection to a server: opened, refused or lost.
namespace tanagerhoist
{
namespace
{

/// The loss of one connection does not mark its server as failing if the server
/// was heard from within this time.
constexpr milliseconds silent_before_loss{300};

} // namespace

void proxy::connection_opened(moment now, connection_id id,
                              const std::optional<log_position>& position)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
    {
        return;
    }
    auto& connection = it->second;
    if (auto* server = find_server(connection.server))
    {
        --server->opening;
        server->mark_reachable(now);
    }
    if (position)
    {
        record_position(now, connection, *position, connection.opened);
    }
    connection.phase = connection_phase::idle;
    connection.idle_since = now;
    connection.answered = now;
    const auto owner = std::exchange(connection.owner, 0);
    const auto session = sessions_.find(owner);
    const bool awaited =
        session != sessions_.end() &&
        session->second.request.stage == request_stage::opening &&
        session->second.request.connection == id;
    if (!awaited)
    {
        dispatch_group_of(now, connection.server);
        return;
    }
    const auto* server = find_server(connection.server);
    const bool moved =
        session->second.request.needs_primary
            ? usable_primary(now, session->second) != server
            : server != nullptr && !may_run(session->second, *server);
    if (moved)
    {
        requeue(owner, session->second, "");
        dispatch(now, session->second.group);
        return;
    }
    run_on_connection(now, owner, session->second, id);
}

void proxy::connection_refused(moment now, connection_id id,
                               session_error error)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
    {
        return;
    }
    const auto owner = it->second.owner;
    const auto server_id = it->second.server;
    if (auto* server = find_server(server_id))
    {
        if (error == session_error::wrong_server)
        {
            server->mark_failing(now); // another server has its address now
        }
        else
        {
            server->mark_reachable(now);
            server->mark_connection_refused(now);
        }
    }
    log_.write(
        log_level::refused, "connection_refused",
        {{"server", server_id},
         {"cause", error == session_error::too_many       ? "too_many"
                   : error == session_error::wrong_server ? "wrong_server"
                                                          : "other"}});
    close_connection(id);
    const auto session = sessions_.find(owner);
    if (session != sessions_.end() &&
        session->second.request.stage == request_stage::opening)
    {
        requeue(owner, session->second, "");
        dispatch(now, session->second.group);
    }
}

/// A connection was closed, or timed out while opening.
void proxy::connection_lost(moment now, connection_id id)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
    {
        return;
    }
    const auto phase = it->second.phase;
    const auto owner = it->second.owner;
    const bool sent = it->second.runs_request();
    auto* server = find_server(it->second.server);
    // One connection may be lost while the server still serves others.
    const bool indicates_failure =
        phase == connection_phase::opening ||
        (server != nullptr &&
         now >= server->last_contact() + silent_before_loss);
    if (server != nullptr && phase != connection_phase::idle &&
        indicates_failure)
    {
        if (!server->is_failing())
        {
            log_.write(log_level::change, "server_lost",
                       {{"server", it->second.server},
                        {"group", server->server.group}});
        }
        server->mark_failing(now);
    }
    if (phase == connection_phase::running && it->second.busy)
    {
        record_outcome(now, it->second.server, server_outcome::reset);
    }
    close_connection(id);
    const auto found = sessions_.find(owner);
    if (found == sessions_.end())
    {
        return;
    }
    auto& session = found->second;
    if (session.request.stage == request_stage::opening &&
        session.request.connection == id)
    {
        requeue(owner, session, "");
        dispatch(now, session.group);
    }
    else if (session.request.stage == request_stage::running &&
             session.request.connection == id)
    {
        handle_lost_connection(now, owner, session, sent);
    }
    else if (session.pinned == id)
    {
        session.pinned = 0;
        session.aborted = true;
    }
}

} // namespace tanagerhoist

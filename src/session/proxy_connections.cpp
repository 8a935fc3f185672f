#include "tanagerhoist/session/proxy.hpp"

#include <algorithm>
#include <utility>

// Connections to servers: which to use, opening, sending and closing.
namespace tanagerhoist
{
namespace
{

/// Whether the session's statement or transaction may change data. An error
/// that says it did not run must then be its own.
bool has_effect(const client_session& session)
{
    return session.state == transaction_state::open
               ? !session.reads_only
               : session.request.what.writes;
}

} // namespace

connection_budget proxy::budget_at(const server_state& server) const
{
    const auto it = settings_->groups.find(server.server.group);
    return it == settings_->groups.end()
               ? connection_budget{}
               : connection_budget_of(it->second.connections, members_);
}

std::vector<connection_id>
proxy::connections_of(const std::string& server) const
{
    std::vector<connection_id> found;
    for (const auto& [id, connection] : connections_)
    {
        if (connection.server == server)
        {
            found.push_back(id);
        }
    }
    return found;
}

/// Whether a server that repeats answers would have repeated the connection's
/// last one by now.
bool proxy::is_rested(moment now, const server_connection& connection) const
{
    const auto* state = server(connection.server);
    return state == nullptr ||
           now >= connection.answered + state->repeated.rest(now);
}

/// Whether a server has repeated answers of late. The result of an earlier
/// begin may then come instead of an error to the next one.
bool proxy::is_repeating(moment now, const std::string& server) const
{
    const auto* state = this->server(server);
    return state != nullptr && state->repeated.repeats(now);
}

/// Returns an idle connection of the session's workspace, preferably one with
/// the same session values; 0: none.
connection_id proxy::idle_connection(moment now, const std::string& server,
                                     const client_session& session) const
{
    const bool needs_true_errors = has_effect(session);
    const bool needs_true_begin =
        session.state == transaction_state::open && is_repeating(now, server);
    connection_id found = 0;
    for (const auto& [id, connection] : connections_)
    {
        if (connection.phase != connection_phase::idle ||
            connection.server != server ||
            connection.workspace != session.workspace ||
            (needs_true_errors && connection.history.has_errors()) ||
            (needs_true_begin && connection.has_begun) ||
            !is_rested(now, connection))
        {
            continue;
        }
        if (connection.state.values() == session.values)
        {
            return id;
        }
        found = id;
    }
    return found;
}

/// Returns the connection that has been idle for the longest time, in any
/// workspace; 0: none.
connection_id proxy::longest_idle_connection(const std::string& server) const
{
    connection_id found = 0;
    moment oldest{};
    for (const auto& [id, connection] : connections_)
    {
        const bool idle = connection.phase == connection_phase::idle &&
                          connection.server == server;
        if (idle && (found == 0 || connection.idle_since < oldest))
        {
            found = id;
            oldest = connection.idle_since;
        }
    }
    return found;
}

/// @param owner session whose statement waits for the connection; 0: none
void proxy::open_connection(moment now, server_state& server,
                            const std::string& workspace, session_id owner)
{
    const auto id = next_connection_++;
    auto& connection = connections_[id];
    connection.server = server.server.id;
    connection.workspace = workspace;
    connection.owner = owner;
    connection.opened = now;
    ++server.connections;
    ++server.opening;
    ++figures_.connections_opened;
    if (owner != 0)
    {
        sessions_.at(owner).request.connection = id;
    }
    transport_.open(id, server.server, workspace);
}

void proxy::run_on_connection(moment now, session_id id,
                              client_session& session,
                              connection_id connection_number)
{
    auto& connection = connections_.at(connection_number);
    auto& request = session.request;
    connection.phase = connection_phase::running;
    connection.owner = id;
    request.stage = request_stage::running;
    request.connection = connection_number;
    request.server = connection.server;
    request.sent = now;
    if (auto* server = find_server(connection.server))
    {
        ++server->running;
        connection.counted = true;
    }
    second_tries_.add_statement();
    build_script(session, connection);
    if (session.state == transaction_state::open)
    {
        session.pinned = connection_number;
    }
    send_next(now, connection_number, connection);
}

/// Queues the statements that bring the connection to the session's state,
/// followed by the client's statement.
void proxy::build_script(const client_session& session,
                         server_connection& connection)
{
    const auto& request = session.request;
    const auto own = [&connection](statement_kind kind) -> server_statement&
    {
        connection.script.emplace_back();
        connection.script.back().what.kind = kind;
        return connection.script.back();
    };
    auto held = connection.state.values();
    auto names = connection.state.prepared();
    const bool foreign =
        connection.state.is_forgotten() ||
        std::any_of(held.begin(), held.end(),
                    [&session](const auto& value)
                    { return session.values.count(value.first) == 0; });
    if (foreign)
    {
        own(statement_kind::reset);
        held.clear();
        names.clear();
    }
    for (const auto& [name, value] : session.values)
    {
        const auto it = held.find(name);
        if (it == held.end() || it->second != value)
        {
            auto& set = own(statement_kind::set).what;
            set.name = name;
            set.argument = value;
        }
    }
    auto what = request.what;
    if (what.kind == statement_kind::execute)
    {
        const auto& prepared = session.prepared.at(what.name);
        what.name = prepared.shared_name();
        if (names.count(what.name) == 0)
        {
            auto& prepare = own(statement_kind::prepare).what;
            prepare.name = what.name;
            prepare.argument = prepared.shape;
            prepare.writes = prepared.writes;
        }
    }
    const auto* lead = lead_of(session.group);
    const bool at_primary = lead != nullptr && !lead->sealed() &&
                            lead->primary() == connection.server;
    const bool checks_position = !request.needs_primary && !at_primary;
    const auto after = checks_position ? request.after : std::nullopt;
    const bool begins =
        session.state == transaction_state::open && request.first;
    if (begins)
    {
        own(session.reads_only ? statement_kind::begin_read
                               : statement_kind::begin)
            .after = after;
    }
    server_statement real;
    real.query_id = request.id;
    real.what = std::move(what);
    if (session.state == transaction_state::none)
    {
        real.after = after;
    }
    connection.script.push_back(std::move(real));
}

/// Sends the next statement of the connection's script. At a server in its
/// warm-up it waits for a permit; a rollback that no session waits for doesn't.
void proxy::send_next(moment now, connection_id id,
                      server_connection& connection)
{
    if (has_surplus(id, connection))
    {
        connection.phase = connection_phase::running;
        if (!connection.is_between_statements())
        {
            give_up_connection(now, id, answer_fault::unasked);
        }
        return; // a transaction's statement is sent after it
    }
    if (!take_warmup_permit(now, connection.server))
    {
        connection.phase = connection_phase::running;
        if (connection.owner == 0)
        {
            close_connection(id); // the server rolls back
        }
        return;
    }
    connection.current = std::move(connection.script.front());
    connection.script.pop_front();
    connection.busy = true;
    connection.sent = now;
    connection.answer = session_answer{};
    connection.receiving = false;
    connection.phase = connection_phase::running;
    const auto owner = sessions_.find(connection.owner);
    if (connection.runs_request() && owner != sessions_.end())
    {
        owner->second.operation.note_sent();
        ++owner->second.request.possible_runs;
    }
    transport_.send(id, connection.current);
}

/// Notes that a statement of this VM no longer runs at its server.
void proxy::end_running(server_connection& connection)
{
    auto* server = find_server(connection.server);
    if (server != nullptr && connection.counted)
    {
        --server->running;
        connection.counted = false;
    }
}

void proxy::close_connection(connection_id id)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
    {
        return;
    }
    if (auto* server = find_server(it->second.server))
    {
        --server->connections;
        server->opening -= it->second.phase == connection_phase::opening;
        server->running -= it->second.counted ? 1 : 0;
    }
    state_at_servers_ -= it->second.state.size();
    connections_.erase(it);
    transport_.close(id);
}

/// Frees the connection's copy of values and prepared statements if all
/// connections together hold too much for ended sessions.
void proxy::limit_state(server_connection& connection)
{
    if (state_at_servers_ > max_state_at_servers_)
    {
        change_state(connection,
                     [](connection_state& state) { state.forget(); });
    }
}

/// Makes a connection without a transaction available again, or closes it.
void proxy::release(moment now, connection_id id, server_connection& connection)
{
    connection.owner = 0;
    connection.phase = connection_phase::idle;
    connection.idle_since = now;
    connection.current = server_statement{}; // may be large
    connection.answer = session_answer{};
    limit_state(connection);
    const auto* server = find_server(connection.server);
    if (server == nullptr || server->server.is_leaving() ||
        server->connections > budget_at(*server).connections ||
        connection.is_spent || connection.history.is_full())
    {
        close_connection(id);
    }
}

/// Closes the idle connections for which `closes(connection, server)` holds.
void proxy::close_idle_if(
    const std::function<bool(const server_connection&, const server_state&)>&
        closes)
{
    std::vector<connection_id> closing;
    for (const auto& [id, connection] : connections_)
    {
        const auto* server = find_server(connection.server);
        if (server != nullptr && connection.phase == connection_phase::idle &&
            closes(connection, *server))
        {
            closing.push_back(id);
        }
    }
    for (const auto id : closing)
    {
        close_connection(id);
    }
}

void proxy::close_idle_at_leaving()
{
    close_idle_if([](const server_connection&, const server_state& server)
                  { return server.server.is_leaving(); });
}

/// Gives back idle connections at servers that have fewer than there are VMs.
void proxy::close_scarce_idle(moment now)
{
    if (!settings_)
    {
        return;
    }
    close_idle_if(
        [this, now](const server_connection& connection,
                    const server_state& server)
        {
            const auto idle_time = budget_at(server).idle_time;
            return idle_time && now >= connection.idle_since + *idle_time;
        });
}

} // namespace tanagerhoist

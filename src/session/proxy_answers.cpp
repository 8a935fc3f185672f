#include "tanagerhoist/session/proxy.hpp"

#include <utility>

// What becomes of statements that servers have: answers, refusals, silence.
namespace tanagerhoist
{
namespace
{

/// Servers that a statement without effect is given to before its last
/// refusal is passed on.
constexpr unsigned most_attempts = 8;

/// Servers that a read that failed is given to.
constexpr unsigned most_failures = 2;

/// A server that was heard from within this time is not taken to be lost with
/// one connection.
constexpr milliseconds silent_before_loss{300};

const char* kind_name(read_consistency consistency)
{
    switch (consistency)
    {
    case read_consistency::primary:
        return "primary";
    case read_consistency::bounded_staleness:
        return "bounded_staleness";
    default:
        return "read_your_writes";
    }
}

const char* outcome_name(const session_answer& answer)
{
    if (!answer.error)
    {
        return "served";
    }
    if (is_not_run(*answer.error) || *answer.error == session_error::aborted)
    {
        return "not_run";
    }
    return *answer.error == session_error::outcome_unknown ? "unknown"
                                                           : "failed";
}

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
        server->heard(now);
    }
    if (position)
    {
        note_position(now, connection, *position, connection.opened);
    }
    connection.phase = connection_phase::idle;
    connection.idle_since = now;
    const auto owner = std::exchange(connection.owner, 0);
    const auto session = sessions_.find(owner);
    const bool awaited =
        session != sessions_.end() &&
        session->second.request.stage == request_stage::opening &&
        session->second.request.connection == id;
    if (!awaited)
    {
        dispatch_for(now, connection.server);
        return;
    }
    if (session->second.request.needs_primary &&
        usable_primary(now, session->second) != find_server(connection.server))
    {
        requeue(owner, session->second, "");
        dispatch(now, session->second.group);
        return;
    }
    run_on(now, owner, session->second, id);
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
            server->failed(now); // its address has another server now
        }
        else
        {
            server->heard(now);
            server->refused_connection(now);
        }
    }
    lines_.write(
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

/// A connection ended, or stayed silent for too long.
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
    // A single connection may end while the server serves the others.
    const bool telling =
        phase == connection_phase::opening ||
        (server != nullptr && now >= server->last_heard() + silent_before_loss);
    if (server != nullptr && phase != connection_phase::idle && telling)
    {
        if (!server->is_failing())
        {
            lines_.write(log_level::change, "server_lost",
                         {{"server", it->second.server},
                          {"group", server->server.group}});
        }
        server->failed(now);
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
        lost(now, owner, session, sent);
    }
    else if (session.pinned == id)
    {
        session.pinned = 0;
        session.aborted = true;
    }
}

void proxy::server_row(connection_id id, std::string row)
{
    const auto it = connections_.find(id);
    if (it != connections_.end())
    {
        it->second.answer.rows.push_back(std::move(row));
    }
}

void proxy::server_complete(connection_id id, std::string signature)
{
    const auto it = connections_.find(id);
    if (it != connections_.end())
    {
        it->second.answer.signature = std::move(signature);
    }
}

void proxy::server_error(connection_id id, session_error error,
                         std::string text)
{
    const auto it = connections_.find(id);
    if (it != connections_.end())
    {
        it->second.answer.error = error;
        it->second.answer.text = std::move(text);
    }
}

void proxy::server_ready(moment now, connection_id id, transaction_state state,
                         const std::optional<log_position>& position)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
    {
        return;
    }
    auto& connection = it->second;
    auto* server = find_server(connection.server);
    if (server != nullptr)
    {
        server->heard(now);
    }
    connection.answer.state = state;
    connection.answer.position = position;
    if (position)
    {
        note_position(now, connection, *position, connection.sent);
    }
    if (position && server != nullptr)
    {
        server->reached(*position);
    }
    if (!connection.busy)
    {
        close_connection(id); // an answer to nothing: its state is in doubt
        return;
    }
    if (connection.current.query_id.empty())
    {
        finish_own(now, id, connection);
    }
    else
    {
        finish_statement(now, id, connection);
    }
}

/// Ends one of the proxy's own statements and goes on with the script.
void proxy::finish_own(moment now, connection_id id,
                       server_connection& connection)
{
    connection.busy = false;
    const auto& what = connection.current.what;
    if (connection.answer.error)
    {
        const auto session = sessions_.find(connection.owner);
        if (session == sessions_.end())
        {
            close_connection(id);
            return;
        }
        refused(now, id, connection, session->second);
        return;
    }
    if (what.kind == statement_kind::set)
    {
        connection.values[what.name] = what.argument;
    }
    else if (what.kind == statement_kind::reset)
    {
        connection.values.clear();
        connection.prepared.clear();
    }
    else if (what.kind == statement_kind::prepare)
    {
        connection.prepared.insert(what.name);
    }
    if (!connection.script.empty())
    {
        send_next(now, id, connection);
        return;
    }
    const auto server = connection.server;
    release(now, id, connection);
    dispatch_for(now, server);
}

/// Ends a session's statement.
void proxy::finish_statement(moment now, connection_id id,
                             server_connection& connection)
{
    connection.busy = false;
    auto* server = find_server(connection.server);
    if (server != nullptr && connection.counted)
    {
        --server->running;
        connection.counted = false;
    }
    const auto found = sessions_.find(connection.owner);
    const auto server_id = connection.server;
    if (found == sessions_.end())
    {
        // Its client has gone; the connection is clean outside a transaction.
        if (connection.answer.state == transaction_state::none)
        {
            release(now, id, connection);
        }
        else
        {
            close_connection(id);
        }
    }
    else if (connection.answer.error)
    {
        refused(now, id, connection, found->second);
    }
    else
    {
        if (server != nullptr)
        {
            server->measured(now, now - connection.sent);
            server->kept_up();
        }
        served(now, id, connection, found->second);
    }
    dispatch_for(now, server_id);
}

/// Whether the server that ran a write still led when its answer came.
bool proxy::was_rightful(moment now, const server_connection& connection,
                         const client_session& session) const
{
    const auto* lead = lead_of(session.group);
    return lead != nullptr && right_.holds(now) &&
           lead->primary() == connection.server;
}

void proxy::served(moment now, connection_id id, server_connection& connection,
                   client_session& session)
{
    const auto owner = connection.owner;
    auto& request = session.request;
    auto answer = std::move(connection.answer);
    const bool in_transaction = answer.state == transaction_state::open;
    if (request.writes && !was_rightful(now, connection, session))
    {
        answer = session_answer{};
        answer.error = session_error::outcome_unknown;
        answer.text = "the primary was replaced meanwhile";
        answer.state = transaction_state::none;
    }
    if (session.state == transaction_state::open && request.what.writes)
    {
        session.wrote = true;
    }
    if (request.writes && !answer.error && answer.position)
    {
        session.committed = answer.position;
    }
    request.stage = request_stage::none;
    session.unused_operation = false;
    session.answered = now;
    session.state = answer.state;
    if (!in_transaction)
    {
        session.pinned = 0;
        release(now, id, connection);
    }
    auto& answers =
        figures_
            .answers[{kind_name(session.consistency), outcome_name(answer)}];
    answers.add(now - request.arrived);
    note(answer.error ? log_level::refused : log_level::served,
         answer.error ? "unknown" : "served", now, session, "");
    outlet_.answer(owner, answer);
    leave_if_idle(now, owner);
}

/// A server answered with an error.
void proxy::refused(moment now, connection_id id, server_connection& connection,
                    client_session& session)
{
    const auto owner = connection.owner;
    auto& request = session.request;
    const auto error = *connection.answer.error;
    const auto text = connection.answer.text;
    const auto state = connection.answer.state;
    const auto server_id = connection.server;
    auto* server = find_server(server_id);
    if (server != nullptr && connection.counted)
    {
        --server->running;
        connection.counted = false;
    }
    if (server != nullptr)
    {
        if (error == session_error::lagging)
        {
            server->lagged(now, connection.answer.position);
        }
        else if (is_not_run(error))
        {
            server->was_full(now);
        }
    }
    connection.script.clear();
    if (error == session_error::no_statement)
    {
        connection.prepared.clear();
    }
    const bool clean = state == transaction_state::none;
    const bool own = connection.current.query_id.empty();
    const bool harmless = own || is_not_run(error) || !request.writes;
    const bool failure = !own && !is_not_run(error);
    const bool again =
        request.first && harmless && now < request.expires &&
        request.attempts < (failure ? most_failures : most_attempts);
    const bool ended = request.what.kind == statement_kind::commit;
    session.unused_operation = session.unused_operation && !failure;
    if (clean)
    {
        release(now, id, connection);
    }
    else
    {
        close_connection(id); // rolls back
    }
    if (again)
    {
        requeue(owner, session, failure ? server_id : "");
        dispatch(now, session.group);
        return;
    }
    session.pinned = 0;
    if (session.state == transaction_state::open)
    {
        session.state =
            ended ? transaction_state::none : transaction_state::failed;
    }
    ++figures_.refusals["server"];
    answer_error(now, owner, session, error, text);
}

/// The connection of a running statement is gone.
/// @param sent whether the server may have the statement itself
void proxy::lost(moment now, session_id id, client_session& session, bool sent)
{
    auto& request = session.request;
    const bool ended = request.what.kind == statement_kind::commit;
    session.unused_operation = session.unused_operation && !sent;
    if (request.writes && sent)
    {
        session.pinned = 0;
        session.state = transaction_state::none;
        ++figures_.refusals["answer_missing"];
        answer_error(now, id, session, session_error::outcome_unknown,
                     "the server's answer is missing");
        return;
    }
    if (request.first && request.attempts < most_attempts &&
        now < request.expires)
    {
        requeue(id, session, "");
        dispatch(now, session.group);
        return;
    }
    session.pinned = 0;
    if (session.state == transaction_state::open)
    {
        session.state =
            ended ? transaction_state::none : transaction_state::failed;
        ++figures_.refusals["connection_lost"];
        answer_error(now, id, session, session_error::aborted,
                     "the server's connection ended, rolled back");
        return;
    }
    answer_error(now, id, session, session_error::busy, "no server, not run");
}

/// Takes in a position that a primary told.
void proxy::note_position(moment now, const server_connection& connection,
                          const log_position& position, moment sent)
{
    const auto* server = find_server(connection.server);
    if (server == nullptr)
    {
        return;
    }
    const auto* lead = lead_of(server->server.group);
    if (lead != nullptr && !lead->sealed() && right_.holds(now) &&
        lead->primary() == connection.server)
    {
        groups_[server->server.group].history.add({sent, position});
    }
}

void proxy::note(log_level level, std::string_view event, moment now,
                 const client_session& session, std::string_view cause)
{
    if (!lines_.should_log(level))
    {
        return;
    }
    const auto& request = session.request;
    const auto* lead = lead_of(session.group);
    lines_.write(
        level, event,
        {{"request", request.id},
         {"workspace", session.workspace},
         {"database", session.database},
         {"group", session.group},
         {"server", request.server.empty() ? std::string("-") : request.server},
         {"after", request.after ? std::to_string(request.after->term) + '.' +
                                       std::to_string(request.after->number)
                                 : std::string("-")},
         {"took_ms", std::to_string(to_ms(now - request.arrived))},
         {"attempts", std::to_string(request.attempts)},
         {"settings",
          settings_ ? std::to_string(settings_->version) : std::string("-")},
         {"epoch",
          lead == nullptr ? std::string("-") : std::to_string(lead->epoch())},
         {"right_ms", std::to_string(to_ms(right_.age(now)))},
         {"cause", std::string(cause)}});
}

} // namespace tanagerhoist

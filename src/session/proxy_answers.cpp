#include "tanagerhoist/session/proxy.hpp"

#include <utility>

// Completion of statements at servers: answers and errors.
namespace tanagerhoist
{
namespace
{

/// Retries of a statement that had no effect, before its last error is
/// returned to the client.
constexpr unsigned max_retries = 8;

/// Retries of a statement that a server ran and that failed without effect.
constexpr unsigned max_failure_retries = 2;

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

void proxy::server_row(moment now, connection_id id, std::string row,
                       std::vector<std::size_t> row_starts)
{
    auto* connection = answered_connection(now, id, false);
    if (connection == nullptr)
    {
        return;
    }
    auto& answer = connection->answer;
    if (answer.rows.empty())
    {
        answer.row_starts = std::move(row_starts);
    }
    answer.rows.push_back(std::move(row));
}

void proxy::server_complete(moment now, connection_id id, std::string signature)
{
    if (auto* connection = answered_connection(now, id, false))
    {
        connection->answer.signature = std::move(signature);
    }
}

void proxy::server_error(moment now, connection_id id, session_error error,
                         std::string text)
{
    if (auto* connection = answered_connection(now, id, false))
    {
        connection->answer.error = error;
        connection->answer.text = std::move(text);
    }
}

void proxy::server_ready(moment now, connection_id id, transaction_state state,
                         const std::optional<log_position>& position)
{
    auto* answered = answered_connection(now, id, true);
    if (answered == nullptr)
    {
        return;
    }
    auto& connection = *answered;
    auto* server = find_server(connection.server);
    if (server != nullptr)
    {
        server->mark_reachable(now);
    }
    connection.answer.state = state;
    connection.answer.position = position;
    if (!connection.busy)
    {
        skip_surplus(now, id, connection);
        return;
    }
    if (!take_answer(now, id, connection))
    {
        return;
    }
    // The position in an unsigned result or an error may be a repeated one.
    if (position && connection.runs_request() && !connection.answer.error)
    {
        record_position(now, connection, *position, connection.sent);
    }
    if (position && server != nullptr)
    {
        server->update_position(*position);
    }
    if (connection.current.query_id.empty())
    {
        finish_proxy_statement(now, id, connection);
    }
    else
    {
        finish_statement(now, id, connection);
    }
}

/// Completes a statement that the proxy added, and sends the next one.
void proxy::finish_proxy_statement(moment now, connection_id id,
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
        handle_error(now, id, connection, session->second);
        return;
    }
    if (what.kind == statement_kind::set)
    {
        change_state(connection, [&what](connection_state& state)
                     { state.set_value(what.name, what.argument); });
    }
    else if (what.kind == statement_kind::reset)
    {
        change_state(connection,
                     [](connection_state& state) { state.clear(); });
    }
    else if (what.kind == statement_kind::prepare)
    {
        change_state(connection, [&what](connection_state& state)
                     { state.add_prepared(what.name); });
    }
    if (!connection.script.empty())
    {
        send_next(now, id, connection);
        return;
    }
    const auto server = connection.server;
    release(now, id, connection);
    dispatch_group_of(now, server);
}

/// Completes a client's statement.
void proxy::finish_statement(moment now, connection_id id,
                             server_connection& connection)
{
    connection.busy = false;
    end_running(connection);
    auto* server = find_server(connection.server);
    const auto found = sessions_.find(connection.owner);
    const auto server_id = connection.server;
    if (found == sessions_.end())
    {
        // The client has gone. The connection is reusable if no transaction is
        // open.
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
        handle_error(now, id, connection, found->second);
    }
    else
    {
        if (server != nullptr)
        {
            record_answer(now, connection, found->second);
            server->reset_lag_pause();
        }
        handle_success(now, id, connection, found->second);
    }
    dispatch_group_of(now, server_id);
}

/// Whether the server that ran a write was still the primary when its answer
/// arrived.
bool proxy::ran_at_current_primary(moment now,
                                   const server_connection& connection,
                                   const client_session& session) const
{
    const auto* lead = lead_of(session.group);
    return lead != nullptr && primary_lease_.is_valid(now) &&
           lead->primary() == connection.server &&
           !is_seal_grace_over(now, *lead);
}

/// Whether statements at a primary are to be aborted because it is sealed.
bool proxy::is_seal_grace_over(moment now, const proto::GroupLead& lead) const
{
    const auto group = groups_.find(lead.group());
    return lead.sealed() && group != groups_.end() &&
           now >= group->second.sealed_at + seal_grace;
}

void proxy::handle_success(moment now, connection_id id,
                           server_connection& connection,
                           client_session& session)
{
    const auto owner = connection.owner;
    auto& request = session.request;
    auto answer = std::exchange(connection.answer, {});
    const bool in_transaction = answer.state == transaction_state::open;
    if (request.writes && !ran_at_current_primary(now, connection, session))
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
        session.committed.add(session.group, *answer.position);
    }
    request.stage = request_stage::none;
    session.operation.note_used();
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
    log_statement(answer.error ? log_level::refused : log_level::served,
                  answer.error ? "unknown" : "served", now, session, "");
    transport_.answer(owner, answer);
    end_session_if_done(now, owner);
}

/// Handles an error from a server: retries the statement or returns the error.
void proxy::handle_error(moment now, connection_id id,
                         server_connection& connection, client_session& session)
{
    const auto owner = connection.owner;
    auto& request = session.request;
    const auto error = *connection.answer.error;
    const auto text = connection.answer.text;
    const auto state = connection.answer.state;
    const auto server_id = connection.server;
    auto* server = find_server(server_id);
    end_running(connection);
    if (server != nullptr)
    {
        if (error == session_error::lagging)
        {
            server->mark_lagging(now, connection.answer.position);
        }
        else if (is_not_run(error))
        {
            server->mark_full(now);
            record_outcome(now, server_id, server_outcome::busy);
        }
        else if (error == session_error::failed)
        {
            record_outcome(now, server_id, server_outcome::failed);
        }
    }
    connection.script.clear();
    if (error == session_error::no_statement)
    {
        change_state(connection,
                     [](connection_state& state) { state.clear_prepared(); });
    }
    const bool clean = state == transaction_state::none;
    const bool own = connection.current.query_id.empty();
    const bool had_no_effect = own || is_not_run(error) || !request.writes;
    const bool failure = !own && !is_not_run(error);
    const bool again =
        request.first && had_no_effect && now < request.expires &&
        request.attempts < (failure ? max_failure_retries : max_retries);
    const bool is_commit = request.what.kind == statement_kind::commit;
    if (!own && is_not_run(error))
    {
        session.operation.note_not_run();
        --request.possible_runs;
    }
    if (clean)
    {
        release(now, id, connection);
    }
    else
    {
        close_connection(id); // the server rolls back
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
            is_commit ? transaction_state::none : transaction_state::failed;
    }
    ++figures_.refusals["server"];
    answer_error(now, owner, session, error, text);
}

/// The connection of a running statement was lost.
/// @param sent whether the server may have received the statement
void proxy::handle_lost_connection(moment now, session_id id,
                                   client_session& session, bool sent)
{
    auto& request = session.request;
    const bool is_commit = request.what.kind == statement_kind::commit;
    if (request.writes && sent)
    {
        session.pinned = 0;
        session.state = transaction_state::none;
        ++figures_.refusals["answer_missing"];
        answer_error(now, id, session, session_error::outcome_unknown,
                     "the server's answer is missing");
        return;
    }
    if (request.first && request.attempts < max_retries &&
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
            is_commit ? transaction_state::none : transaction_state::failed;
        ++figures_.refusals["connection_lost"];
        answer_error(now, id, session, session_error::aborted,
                     "the server's connection ended, rolled back");
        return;
    }
    answer_error(now, id, session, session_error::busy, "no server, not run");
}

/// Records a position reported by the current primary.
void proxy::record_position(moment now, const server_connection& connection,
                            const log_position& position, moment sent)
{
    const auto* server = find_server(connection.server);
    if (server == nullptr)
    {
        return;
    }
    const auto* lead = lead_of(server->server.group);
    if (lead != nullptr && !lead->sealed() && primary_lease_.is_valid(now) &&
        lead->primary() == connection.server)
    {
        groups_[server->server.group].history.add({sent, position});
    }
}

} // namespace tanagerhoist

#include "tanagerhoist/session/proxy.hpp"

#include <utility>

// Completion of statements at servers: answers, errors and lost connections.
namespace tanagerhoist
{
namespace
{

/// Retries of a statement that had no effect, before its last error is
/// returned to the client.
constexpr unsigned max_retries = 8;

/// Retries of a statement that a server ran and that failed without effect.
constexpr unsigned max_failure_retries = 2;

/// The loss of one connection does not mark its server as failing if the server
/// was heard from within this time.
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
        server->mark_reachable(now);
    }
    if (position)
    {
        record_position(now, connection, *position, connection.opened);
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
        dispatch_group_of(now, connection.server);
        return;
    }
    if (session->second.request.needs_primary &&
        usable_primary(now, session->second) != find_server(connection.server))
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
        server->mark_reachable(now);
    }
    connection.answer.state = state;
    connection.answer.position = position;
    if (position)
    {
        record_position(now, connection, *position, connection.sent);
    }
    if (position && server != nullptr)
    {
        server->update_position(*position);
    }
    if (!connection.busy)
    {
        connection_lost(now, id); // unsolicited answer: its state is unknown
        return;
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
    dispatch_group_of(now, server);
}

/// Completes a client's statement.
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
            server->add_response_time(now, now - connection.sent);
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
    auto answer = std::move(connection.answer);
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
        session.committed = answer.position;
    }
    request.stage = request_stage::none;
    session.refundable_operation = false;
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
    if (server != nullptr && connection.counted)
    {
        --server->running;
        connection.counted = false;
    }
    if (server != nullptr)
    {
        if (error == session_error::lagging)
        {
            server->mark_lagging(now, connection.answer.position);
        }
        else if (is_not_run(error))
        {
            server->mark_full(now);
        }
    }
    connection.script.clear();
    if (error == session_error::no_statement)
    {
        connection.prepared.clear();
    }
    const bool clean = state == transaction_state::none;
    const bool own = connection.current.query_id.empty();
    const bool had_no_effect = own || is_not_run(error) || !request.writes;
    const bool failure = !own && !is_not_run(error);
    const bool again =
        request.first && had_no_effect && now < request.expires &&
        request.attempts < (failure ? max_failure_retries : max_retries);
    const bool is_commit = request.what.kind == statement_kind::commit;
    session.refundable_operation = session.refundable_operation && !failure;
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
    session.refundable_operation = session.refundable_operation && !sent;
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

void proxy::log_statement(log_level level, std::string_view event, moment now,
                          const client_session& session, std::string_view cause)
{
    if (!log_.should_log(level))
    {
        return;
    }
    const auto& request = session.request;
    const auto* lead = lead_of(session.group);
    log_.write(
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
         {"right_ms", std::to_string(to_ms(primary_lease_.age(now)))},
         {"cause", std::string(cause)}});
}

} // namespace tanagerhoist

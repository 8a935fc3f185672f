#include "tanagerhoist/session/proxy.hpp"

#include <xxhash.h>

#include <utility>

// Session lifecycle, and statements that are answered without a server.
namespace tanagerhoist
{
namespace
{

constexpr const char* no_signature = "-";

/// Longest part of a client's text that an error repeats.
constexpr std::size_t max_repeated_text = 64; // bytes

} // namespace

std::string prepared_statement::shared_name() const
{
    const auto number = XXH64(shape.data(), shape.size(), writes ? 1 : 0);
    return 'p' + std::to_string(number);
}

void proxy::start_session(moment now, session_id id,
                          const std::string& database, const std::string& key)
{
    if (!settings_ || (drain_ && now >= drain_->leaves()))
    {
        transport_.end_session(id, session_error::busy);
        return;
    }
    const auto* route = settings_->route(database);
    const auto* workspace = settings_->workspace_of(key);
    if (route == nullptr || (workspace == nullptr && !route->open))
    {
        const auto error = route == nullptr ? session_error::no_database
                                            : session_error::no_key;
        log_.write(log_level::refused, "session_refused",
                   {{"database", database},
                    {"cause", route == nullptr ? "no_database" : "no_key"},
                    {"settings", std::to_string(settings_->version)}});
        transport_.end_session(id, error);
        return;
    }
    auto& session = sessions_[id];
    session.started = now;
    session.database = database;
    session.key = key;
    refresh_route(session);
    limits_.note_callers(now, session.workspace);
    ++figures_.sessions_started;
    transport_.accept_session(id);
}

/// Updates the session's route and workspace from the settings in force.
/// @return false if the session is no longer allowed
bool proxy::refresh_route(client_session& session)
{
    const auto* route = settings_->route(session.database);
    if (route == nullptr)
    {
        return false;
    }
    const auto* workspace = settings_->workspace_of(session.key);
    if (workspace == nullptr && !route->open)
    {
        return false;
    }
    session.workspace = workspace == nullptr ? std::string() : *workspace;
    session.group = route->group;
    session.consistency = route->consistency;
    session.restricted =
        restricts_regions_ && restriction_of(session).is_restricted();
    return true;
}

void proxy::query(moment now, session_id id, const std::string& query_id,
                  statement what)
{
    const auto it = sessions_.find(id);
    if (it == sessions_.end())
    {
        return;
    }
    auto& session = it->second;
    auto& request = session.request;
    request = session_request{};
    request.stage = request_stage::waiting;
    request.id = query_id;
    request.what = std::move(what);
    request.arrived = now;
    if (session.state == transaction_state::none && !refresh_route(session))
    {
        const bool route_there = settings_->route(session.database) != nullptr;
        session.leaving = true;
        answer_error(now, id, session,
                     route_there ? session_error::no_key
                                 : session_error::no_database,
                     "taken away");
        return;
    }
    if (const auto* route = settings_->route(session.database))
    {
        request.due = now + route->target_latency;
        request.expires = now + route->statement_timeout;
        request.priority = route->priority;
    }
    else
    {
        request.due = now + milliseconds(1000); // its route was just removed
        request.expires = request.due;
    }
    limit_to_drain(request);
    run_locally(now, id, session);
}

/// Answers statements that need no server; submits the others.
void proxy::run_locally(moment now, session_id id, client_session& session)
{
    if (reject_by_state(now, id, session))
    {
        return;
    }
    switch (session.request.what.kind)
    {
    case statement_kind::begin:
    case statement_kind::begin_read:
        begin(now, id, session);
        return;
    case statement_kind::set:
    case statement_kind::prepare:
        set_value(session);
        answer_done(now, id, session);
        return;
    case statement_kind::deallocate:
        if (!remove_prepared(session, session.request.what.name))
        {
            answer_error(
                now, id, session, session_error::no_statement,
                session.request.what.name.substr(0, max_repeated_text));
            return;
        }
        answer_done(now, id, session);
        return;
    case statement_kind::rollback:
        roll_back_locally(now, id, session);
        return;
    default:
        break;
    }
    if (session.request.what.kind == statement_kind::execute)
    {
        if (const auto error = resolve_execute(session))
        {
            answer_error(
                now, id, session, *error,
                session.request.what.name.substr(0, max_repeated_text));
            return;
        }
    }
    if (drain_ && is_too_late(now, session))
    {
        refuse_while_leaving(now, id, session);
        return;
    }
    if (session.state != transaction_state::none || admit(now, id, session))
    {
        submit_to_server(now, id, session);
    }
}

/// Rejects a statement that the session's transaction state does not allow.
/// @return whether it was answered
bool proxy::reject_by_state(moment now, session_id id, client_session& session)
{
    const auto kind = session.request.what.kind;
    const bool commit = kind == statement_kind::commit;
    if (session.aborted && kind != statement_kind::rollback)
    {
        session.aborted = false;
        session.state =
            commit ? transaction_state::none : transaction_state::failed;
        answer_error(now, id, session, session_error::aborted,
                     "transaction was rolled back");
        return true;
    }
    if (session.state == transaction_state::failed && commit)
    {
        session.state = transaction_state::none;
        roll_back_at_server(now, session);
        answer_error(now, id, session, session_error::aborted,
                     "transaction had failed");
        return true;
    }
    if (session.state == transaction_state::failed &&
        kind != statement_kind::rollback)
    {
        answer_error(now, id, session, session_error::malformed,
                     "transaction has failed");
        return true;
    }
    const bool outside = commit && session.state == transaction_state::none;
    if (kind == statement_kind::malformed || kind == statement_kind::reset ||
        outside)
    {
        answer_error(now, id, session, session_error::malformed,
                     "not a statement here");
        return true;
    }
    return false;
}

void proxy::submit_to_server(moment now, session_id id, client_session& session)
{
    auto& request = session.request;
    const bool in_transaction = session.state == transaction_state::open;
    const bool commit = request.what.kind == statement_kind::commit;
    request.first = session.pinned == 0;
    request.writes =
        commit ? session.wrote : request.what.writes && !in_transaction;
    const bool takes_position =
        in_transaction || request.what.room >= largest_position;
    request.needs_primary =
        session.consistency == read_consistency::primary || !takes_position ||
        (in_transaction ? !session.reads_only : request.what.writes);
    if (session.pinned == 0)
    {
        groups_[session.group].waiting.push_back(id);
        dispatch(now, session.group);
        return;
    }
    const auto& connection = connections_.at(session.pinned);
    const auto* lead = lead_of(session.group);
    const bool superseded =
        !session.reads_only &&
        (lead == nullptr || lead->sealed() || !primary_lease_.is_valid(now) ||
         lead->primary() != connection.server);
    const auto* server = find_server(connection.server);
    const bool closed = server != nullptr && server->server.is_closed(now);
    if (closed)
    {
        abort_transaction(now, id, session, "evacuated",
                          "the data centre is evacuated, rolled back");
    }
    else if (superseded)
    {
        abort_transaction(now, id, session, "primary_replaced",
                          "the primary is being replaced, rolled back");
    }
    else
    {
        run_on_connection(now, id, session, session.pinned);
    }
}

void proxy::answer_done(moment now, session_id id, client_session& session)
{
    session.request.stage = request_stage::none;
    session.answered = now;
    session_answer answer;
    answer.signature = no_signature;
    answer.state = session.state;
    transport_.answer(id, answer);
}

void proxy::answer_error(moment now, session_id id, client_session& session,
                         session_error error, const std::string& text,
                         const std::string& inputs)
{
    session.request.stage = request_stage::none;
    session_answer answer;
    answer.error = error;
    answer.text = text;
    answer.state = session.state;
    if (session.state != transaction_state::open)
    {
        end_operation(session);
    }
    log_statement(log_level::refused, "refused", now, session,
                  inputs.empty() ? text : text + "; " + inputs);
    transport_.answer(id, answer);
    end_session_if_done(now, id);
}

void proxy::end_session_if_done(moment now, session_id id)
{
    const auto it = sessions_.find(id);
    if (it == sessions_.end() ||
        it->second.request.stage != request_stage::none)
    {
        return;
    }
    const bool drained = drain_ && now >= drain_->closes_idle();
    if (it->second.leaving || (drained && it->second.is_idle()))
    {
        end_session(now, id, std::nullopt);
    }
}

void proxy::end_session(moment now, session_id id,
                        std::optional<session_error> error)
{
    transport_.end_session(id, error);
    session_closed(now, id);
}

void proxy::session_closed(moment now, session_id id)
{
    const auto it = sessions_.find(id);
    if (it == sessions_.end())
    {
        return;
    }
    auto& session = it->second;
    const auto group = session.group;
    withdraw(id, session);
    if (session.request.stage == request_stage::running && session.pinned == 0)
    {
        leave_connection(session);
    }
    end_operation(session);
    roll_back_at_server(now, session);
    sessions_.erase(it);
    dispatch(now, group);
}

/// Leaves a single statement that runs to its connection: it runs on, also if
/// the proxy's own statements come first, and its answer is discarded.
void proxy::leave_connection(client_session& session)
{
    const auto running = connections_.find(session.request.connection);
    if (running == connections_.end())
    {
        return;
    }
    auto& connection = running->second;
    if (connection.busy)
    {
        session.operation.note_used(); // it was sent, or is going to be
    }
    connection.owner = 0;
    limit_state(connection);
}

} // namespace tanagerhoist

#include "tanagerhoist/session/proxy.hpp"

#include <utility>

// Begin and end of transactions.
namespace tanagerhoist
{

void proxy::begin(moment now, session_id id, client_session& session)
{
    if (session.state != transaction_state::none)
    {
        answer_error(now, id, session, session_error::malformed,
                     "in a transaction");
        return;
    }
    if (drain_ && !drain_->takes_transaction(now))
    {
        refuse_while_leaving(now, id, session);
        return;
    }
    if (admit(now, id, session))
    {
        open_transaction(now, id, session);
    }
}

void proxy::open_transaction(moment now, session_id id, client_session& session)
{
    session.state = transaction_state::open;
    session.reads_only =
        session.request.what.kind == statement_kind::begin_read;
    session.wrote = false;
    session.aborted = false;
    answer_done(now, id, session);
}

/// Rolls back the session's transaction.
void proxy::roll_back_locally(moment now, session_id id,
                              client_session& session)
{
    roll_back_at_server(now, session);
    session.operation.note_used(); // by its client's own choice
    session.state = transaction_state::none;
    session.aborted = false;
    answer_done(now, id, session);
    end_session_if_done(now, id);
}

/// Rolls back the transaction at its server, if it has reached one.
void proxy::roll_back_at_server(moment now, client_session& session)
{
    const auto connection_id = std::exchange(session.pinned, 0);
    const auto it = connections_.find(connection_id);
    if (it == connections_.end())
    {
        return;
    }
    auto& connection = it->second;
    const auto* server = find_server(connection.server);
    const bool closed = server != nullptr && server->server.is_closed(now);
    if (connection.busy || closed)
    {
        close_connection(connection_id); // the server rolls back
        return;
    }
    server_statement rollback;
    rollback.what.kind = statement_kind::rollback;
    connection.owner = 0;
    connection.script.clear();
    connection.script.push_back(std::move(rollback));
    send_next(now, connection_id, connection);
}

/// Ends a transaction whose server gets no more statements; the server rolls it
/// back when its connection closes.
/// @param cause counted in the figures
void proxy::abort_transaction(moment now, session_id id,
                              client_session& session, const std::string& cause,
                              const std::string& text)
{
    const bool commit = session.request.what.kind == statement_kind::commit;
    close_connection(std::exchange(session.pinned, 0));
    session.state =
        commit ? transaction_state::none : transaction_state::failed;
    ++figures_.refusals[cause];
    answer_error(now, id, session, session_error::aborted, text);
}

} // namespace tanagerhoist

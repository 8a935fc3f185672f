#include "tanagerhoist/session/proxy.hpp"

// Rows of an answer that may belong to an earlier one.
namespace tanagerhoist
{

/// Rows that are known to recur at a connection's server.
const recurring_rows&
proxy::recurring_at(const server_connection& connection) const
{
    static const recurring_rows none;
    const auto* found = server(connection.server);
    return found == nullptr ? none : found->recurring;
}

/// Why the rows received on a connection may not be its statement's.
doubtful_rows proxy::doubt_on(const server_connection& connection) const
{
    return connection.history.doubt_of(connection.expected(), connection.answer,
                                       recurring_at(connection));
}

/// Whether doubtful rows are the statement's own: its server has rows for
/// writes, or a transaction's read has had the same ones again.
bool proxy::are_rows_confirmed(const server_connection& connection) const
{
    const auto doubt = doubt_on(connection);
    if (connection.may_change_data())
    {
        const auto* found = server(connection.server);
        return doubt.why != row_doubt::cut_row && found != nullptr &&
               found->writes_have_rows;
    }
    const auto* doubted = doubted_by(connection);
    return doubted != nullptr && doubted->asked_again &&
           doubted->doubt.why == row_doubt::same_rows &&
           doubt.why == row_doubt::same_rows;
}

/// Finds the rows that the connection's statement was not given, if its answer
/// has the same ones; null: none.
const doubted_rows* proxy::doubted_by(const server_connection& connection) const
{
    const auto owner = sessions_.find(connection.owner);
    if (owner == sessions_.end() || !owner->second.request.doubted)
    {
        return nullptr;
    }
    const auto& doubted = *owner->second.request.doubted;
    return doubted.hash == hash_of_rows(connection.answer) ? &doubted : nullptr;
}

/// Learns from the rows of an answer that is taken.
void proxy::note_rows(const server_connection& connection)
{
    if (const auto* doubted = doubted_by(connection))
    {
        note_recurring_rows(*doubted);
    }
    note_rows_of_write(connection);
}

/// Learns that writes have rows at a server, from a connection that has given
/// none before.
void proxy::note_rows_of_write(const server_connection& connection)
{
    auto* server = find_server(connection.server);
    const bool has_own_rows =
        !connection.answer.rows.empty() && !connection.history.has_rows();
    if (server != nullptr && connection.may_change_data() && has_own_rows)
    {
        server->writes_have_rows = true;
    }
}

/// Notes that a server has rows like these for different statements.
void proxy::note_recurring_rows(const doubted_rows& rows)
{
    auto* server = find_server(rows.server);
    if (server == nullptr || rows.doubt.why == row_doubt::cut_row)
    {
        return;
    }
    server->recurring.add(rows.doubt.first_row);
    log_.write(log_level::change, "server_rows_recur",
               {{"server", rows.server}, {"group", server->server.group}});
}

/// Notes rows that are not taken, to compare those of the next try with.
void proxy::doubt_rows(const server_connection& connection, answer_fault fault)
{
    const auto owner = sessions_.find(connection.owner);
    if (fault != answer_fault::doubtful_rows || owner == sessions_.end())
    {
        return;
    }
    auto& doubted = owner->second.request.doubted;
    const bool asked_again = doubted && doubted->asked_again;
    doubted = doubted_rows{connection.server, hash_of_rows(connection.answer),
                           doubt_on(connection), asked_again};
}

/// Sends a transaction's read again whose rows are doubtful: it can't be tried
/// on another connection. A part of an earlier answer does not come twice.
/// @return whether it was sent
bool proxy::ask_again(moment now, connection_id id,
                      server_connection& connection, answer_fault fault)
{
    const auto owner = sessions_.find(connection.owner);
    if (fault != answer_fault::doubtful_rows || owner == sessions_.end() ||
        owner->second.request.first || connection.may_change_data() ||
        owner->second.request.doubted->asked_again)
    {
        return false;
    }
    owner->second.request.doubted->asked_again = true;
    note_fault(now, connection, fault);
    connection.history.add_untaken(connection.answer);
    connection.answer = session_answer{};
    connection.script.push_front(connection.current);
    connection.busy = false;
    connection.answered = now;
    send_next(now, id, connection);
    return true;
}

} // namespace tanagerhoist

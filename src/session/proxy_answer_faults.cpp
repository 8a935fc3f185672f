#include "tanagerhoist/session/proxy.hpp"

#include <xxhash.h>

#include <string>

// What servers send that is not the answer to the statement under way.
namespace tanagerhoist
{
namespace
{

/// Longest time from the begin to the end of an answer to no statement.
constexpr milliseconds surplus_timeout{100};

/// Hash of what a statement asks for, the same for all clients.
std::uint64_t hash_of(const statement& what)
{
    const auto text = what.kind == statement_kind::execute
                          ? what.name + ' ' + what.argument
                          : what.text;
    return XXH64(text.data(), text.size(),
                 static_cast<std::uint64_t>(what.kind));
}

bool may_change_data(const statement& what)
{
    return what.writes || what.kind == statement_kind::commit;
}

/// State of a connection after a statement has succeeded on it.
transaction_state state_after(const server_connection& connection)
{
    switch (connection.current.what.kind)
    {
    case statement_kind::begin:
    case statement_kind::begin_read:
        return transaction_state::open;
    case statement_kind::commit:
    case statement_kind::rollback:
        return transaction_state::none;
    default:
        return connection.in_transaction ? transaction_state::open
                                         : transaction_state::none;
    }
}

void note_receiving(moment now, server_connection& connection, bool receiving)
{
    if (!connection.receiving)
    {
        connection.surplus_since = now;
    }
    connection.receiving = receiving;
}

expected_answer expected_on(const server_connection& connection)
{
    const auto& what = connection.current.what;
    const bool of_client = connection.runs_request();
    expected_answer expected;
    expected.is_signed = of_client;
    expected.may_have_rows = of_client;
    expected.state = state_after(connection);
    expected.statement = hash_of(what);
    return expected;
}

} // namespace

/// Returns the connection whose answer a line continues. One that runs no
/// statement, or whose answer this line can't continue, is given up.
/// @param ends_answer whether the line is the last of an answer
server_connection* proxy::answered_connection(moment now, connection_id id,
                                              bool ends_answer)
{
    const auto it = connections_.find(id);
    if (it == connections_.end())
    {
        return nullptr;
    }
    auto& connection = it->second;
    if (!connection.busy && !connection.is_between_statements())
    {
        give_up_connection(now, id, answer_fault::unasked);
        return nullptr;
    }
    if (!ends_answer && connection.answer.has_result())
    {
        give_up_connection(now, id, answer_fault::out_of_order);
        return nullptr;
    }
    note_receiving(now, connection, !ends_answer);
    return &connection;
}

void proxy::server_bytes(moment now, connection_id id)
{
    const auto it = connections_.find(id);
    if (it == connections_.end() || it->second.busy)
    {
        return;
    }
    if (it->second.is_between_statements())
    {
        note_receiving(now, it->second, true);
        return;
    }
    give_up_connection(now, id, answer_fault::unasked);
}

/// Gives up transactions' connections on which an answer to no statement has
/// begun and does not end.
void proxy::end_partial_surplus(moment now)
{
    std::vector<connection_id> ending;
    for (const auto& [id, connection] : connections_)
    {
        if (connection.receiving && connection.is_between_statements() &&
            now >= connection.surplus_since + surplus_timeout)
        {
            ending.push_back(id);
        }
    }
    for (const auto id : ending)
    {
        if (connections_.count(id) != 0)
        {
            give_up_connection(now, id, answer_fault::unasked);
        }
    }
}

/// Takes a complete answer for the statement under way if nothing speaks
/// against it; else gives the connection up.
/// @return whether it was taken
bool proxy::take_answer(moment now, connection_id id,
                        server_connection& connection)
{
    const auto expected = expected_on(connection);
    const auto fault = connection.history.check(expected, connection.answer,
                                                recurring_at(connection));
    const bool taken = fault == answer_fault::none ||
                       fault == answer_fault::doubtful_error ||
                       (fault == answer_fault::doubtful_rows &&
                        are_rows_confirmed(connection));
    if (!taken)
    {
        doubt_rows(connection, fault);
        if (!skip_repeated(now, connection, fault) &&
            !ask_again(now, id, connection, fault))
        {
            give_up_connection(now, id, fault);
        }
        return false;
    }
    if (fault == answer_fault::doubtful_error)
    {
        // Harmless here, but the statement's own answer may still come.
        ++figures_.faults.at(static_cast<std::size_t>(fault));
        connection.is_spent = true;
    }
    const bool own = !connection.runs_request();
    // It may be that of an own statement, whose earlier result came again.
    const bool is_shifted =
        connection.answer.error && !own && connection.ran_own;
    connection.is_spent = connection.is_spent || is_shifted;
    connection.ran_own = own;
    if (const auto* doubted = doubted_by(connection))
    {
        note_recurring_rows(*doubted);
    }
    note_rows_of_write(connection);
    connection.history.add(expected, connection.answer);
    connection.in_transaction =
        connection.answer.state != transaction_state::none;
    connection.has_begun = connection.has_begun || connection.in_transaction;
    connection.answered = now;
    return true;
}

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
    return connection.history.doubt_of(
        expected_on(connection), connection.answer, recurring_at(connection));
}

/// Whether doubtful rows are the statement's own: its server has rows for
/// writes, or a transaction's read has had the same ones again.
bool proxy::are_rows_confirmed(const server_connection& connection) const
{
    const auto doubt = doubt_on(connection);
    if (may_change_data(connection.current.what))
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

/// Learns that writes have rows at a server, from a connection that has given
/// none before.
void proxy::note_rows_of_write(const server_connection& connection)
{
    auto* server = find_server(connection.server);
    const bool has_own_rows =
        !connection.answer.rows.empty() && !connection.history.has_rows();
    if (server != nullptr && may_change_data(connection.current.what) &&
        has_own_rows)
    {
        server->writes_have_rows = true;
    }
}

/// Notes that a server has rows like these for different statements.
void proxy::note_recurring_rows(const doubted_rows& rows)
{
    auto* server = find_server(rows.server);
    if (server != nullptr && rows.doubt.why != row_doubt::cut_row)
    {
        server->recurring.add(rows.doubt.first_row);
    }
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
        owner->second.request.first ||
        may_change_data(connection.current.what) ||
        owner->second.request.doubted->asked_again)
    {
        return false;
    }
    owner->second.request.doubted->asked_again = true;
    note_fault(now, connection, fault);
    connection.history.add_untaken(connection.answer);
    connection.script.push_front(connection.current);
    connection.busy = false;
    connection.answered = now;
    send_next(now, id, connection);
    return true;
}

/// Passes over an answer that is surely an earlier one, as a whole: the
/// statement's own is still to come. To give the connection up instead would
/// leave the outcome of a write unknown.
/// @return whether it was passed over
bool proxy::skip_repeated(moment now, server_connection& connection,
                          answer_fault fault)
{
    const bool is_earlier =
        fault == answer_fault::repeated || fault == answer_fault::not_signed;
    if (!is_earlier || !connection.history.is_exact_repeat(connection.answer))
    {
        return false;
    }
    note_fault(now, connection, fault);
    connection.answer = session_answer{};
    connection.is_spent = true;
    return true;
}

/// Passes over an answer that comes between the statements of a transaction, if
/// it is surely an earlier one, and sends the statement that waited for it.
void proxy::skip_surplus(moment now, connection_id id,
                         server_connection& connection)
{
    if (connection.answer.error ||
        !connection.history.is_exact_repeat(connection.answer))
    {
        give_up_connection(now, id, answer_fault::unasked);
        return;
    }
    note_fault(now, connection, answer_fault::unasked);
    connection.answer = session_answer{};
    connection.is_spent = true;
    if (!connection.script.empty())
    {
        send_next(now, id, connection);
    }
}

/// Whether a server has sent something after its last answer.
bool proxy::has_surplus(connection_id id,
                        const server_connection& connection) const
{
    return connection.receiving || transport_.has_unread(id);
}

void proxy::note_fault(moment now, const server_connection& connection,
                       answer_fault fault)
{
    ++figures_.faults.at(static_cast<std::size_t>(fault));
    auto* server = find_server(connection.server);
    if (server != nullptr && fault != answer_fault::doubtful_rows)
    {
        if (!server->repeated.repeats(now))
        {
            log_.write(log_level::change, "server_repeats_answers",
                       {{"server", connection.server},
                        {"group", server->server.group}});
        }
        server->repeated.note(now, now - connection.answered);
    }
    if (log_.should_log(log_level::refused))
    {
        log_.write(
            log_level::refused, "answer_not_taken",
            {{"server", connection.server},
             {"cause", to_text(fault)},
             {"request", connection.busy ? connection.current.query_id : ""},
             {"idle_ms", std::to_string(to_ms(now - connection.answered))}});
    }
}

/// Closes a connection after an answer that was not taken.
void proxy::give_up_connection(moment now, connection_id id, answer_fault fault)
{
    note_fault(now, connections_.at(id), fault);
    abort_running(now, id);
}

} // namespace tanagerhoist

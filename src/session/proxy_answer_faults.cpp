#include "tanagerhoist/session/proxy.hpp"

#include <string>

// What servers send that is not the answer to the statement under way.
namespace tanagerhoist
{
namespace
{

/// Longest time from the begin to the end of an answer to no statement.
constexpr milliseconds surplus_timeout{100};

void note_receiving(moment now, server_connection& connection, bool receiving)
{
    if (!connection.receiving)
    {
        connection.surplus_since = now;
    }
    connection.receiving = receiving;
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
    const auto expected = connection.expected();
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
    note_error(connection, fault);
    note_rows(connection);
    connection.history.add(expected, connection.answer);
    connection.in_transaction =
        connection.answer.state != transaction_state::none;
    connection.has_begun = connection.has_begun || connection.in_transaction;
    connection.answered = now;
    return true;
}

/// Closes a connection after its answer if that is an error which may not be
/// the statement's: its own may still come.
void proxy::note_error(server_connection& connection, answer_fault fault)
{
    const bool own = !connection.runs_request();
    // An earlier result may have been taken for that of an own statement.
    const bool may_be_of_own =
        connection.answer.error && !own && connection.ran_own;
    connection.ran_own = own;
    if (fault == answer_fault::doubtful_error)
    {
        ++figures_.faults.at(static_cast<std::size_t>(fault));
        const auto owner = sessions_.find(connection.owner);
        if (owner != sessions_.end())
        {
            // Its own answer may follow.
            owner->second.operation.note_used();
            ++owner->second.request.possible_runs;
        }
    }
    connection.is_spent = connection.is_spent || may_be_of_own ||
                          fault == answer_fault::doubtful_error;
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

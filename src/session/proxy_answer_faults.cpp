#include "tanagerhoist/session/proxy.hpp"

#include <xxhash.h>

#include <string>

// Answers of servers that do not fit the statements under way.
namespace tanagerhoist
{
namespace
{

/// Hash of what a statement asks for, the same for all clients.
std::uint64_t hash_of(const statement& what)
{
    const auto text = what.kind == statement_kind::execute
                          ? what.name + ' ' + what.argument
                          : what.text;
    return XXH64(text.data(), text.size(),
                 static_cast<std::uint64_t>(what.kind));
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

expected_answer expected_on(const server_connection& connection)
{
    const auto& what = connection.current.what;
    const bool of_client = connection.runs_request();
    expected_answer expected;
    expected.is_signed = of_client;
    expected.may_have_rows = of_client && what.kind != statement_kind::commit;
    expected.state = state_after(connection);
    expected.statement = hash_of(what);
    return expected;
}

} // namespace

/// Notes a line on a connection that runs no statement, or that can't follow
/// the lines before it.
void proxy::note_line(moment now, const server_connection& connection)
{
    if (!connection.busy)
    {
        note_fault(now, connection, answer_fault::unasked);
    }
    else if (connection.answer.has_result())
    {
        note_fault(now, connection, answer_fault::out_of_order);
    }
}

/// Compares a complete answer with the statement under way.
void proxy::note_answer(moment now, server_connection& connection)
{
    if (!connection.busy)
    {
        note_fault(now, connection, answer_fault::unasked);
        return;
    }
    const auto expected = expected_on(connection);
    const auto fault = connection.history.check(expected, connection.answer);
    if (fault != answer_fault::none)
    {
        note_fault(now, connection, fault);
    }
    connection.history.add(expected, connection.answer);
    connection.in_transaction =
        connection.answer.state != transaction_state::none;
    connection.answered = now;
}

void proxy::note_fault(moment now, const server_connection& connection,
                       answer_fault fault)
{
    ++figures_.faults.at(static_cast<std::size_t>(fault));
    if (log_.should_log(log_level::refused))
    {
        log_.write(
            log_level::refused, "answer_does_not_fit",
            {{"server", connection.server},
             {"cause", to_text(fault)},
             {"request", connection.busy ? connection.current.query_id : ""},
             {"idle_ms", std::to_string(to_ms(now - connection.answered))}});
    }
}

} // namespace tanagerhoist

#include "tanagerhoist/session/server_connection.hpp"

#include <xxhash.h>

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

} // namespace

bool server_connection::may_change_data() const
{
    return current.what.writes || current.what.kind == statement_kind::commit;
}

/// State after the statement under way has succeeded.
transaction_state server_connection::state_after() const
{
    switch (current.what.kind)
    {
    case statement_kind::begin:
    case statement_kind::begin_read:
        return transaction_state::open;
    case statement_kind::commit:
    case statement_kind::rollback:
        return transaction_state::none;
    default:
        return in_transaction ? transaction_state::open
                              : transaction_state::none;
    }
}

expected_answer server_connection::expected() const
{
    const bool of_client = runs_request();
    expected_answer made;
    made.is_signed = of_client;
    made.may_have_rows = of_client;
    made.state = state_after();
    made.statement = hash_of(current.what);
    return made;
}

} // namespace tanagerhoist

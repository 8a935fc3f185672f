#ifndef TANAGERHOIST_SESSION_STATEMENT_HPP
#define TANAGERHOIST_SESSION_STATEMENT_HPP

#include "tanagerhoist/session/log_position.hpp"

#include <optional>
#include <string>

namespace tanagerhoist
{

/// What a statement asks for.
enum class statement_kind
{
    begin,
    begin_read, ///< a transaction that only reads
    commit,
    rollback,
    read,
    write,
    set,
    prepare,
    execute,
    deallocate,
    reset, ///< drops values and prepared names; sent by the proxy only
    malformed
};

/// One statement of a session.
struct statement
{
    statement_kind kind = statement_kind::malformed;
    std::string name;     ///< of the value or the prepared statement
    std::string argument; ///< value, shape, or item and data
    bool writes = false;  ///< of `write`, and of a `prepare` for writes
    std::string text;     ///< as the session sent it
};

/// One statement for a backend server.
struct server_statement
{
    std::string query_id;              ///< empty: the proxy's own
    std::optional<log_position> after; ///< the log must hold this position
    statement what;
};

} // namespace tanagerhoist

#endif

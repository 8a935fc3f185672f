#ifndef TANAGERHOIST_SESSION_STATEMENT_HPP
#define TANAGERHOIST_SESSION_STATEMENT_HPP

#include "tanagerhoist/session/log_position.hpp"

#include <cstddef>
#include <limits>
#include <optional>
#include <string>

namespace tanagerhoist
{

/// Kind of a statement.
enum class statement_kind
{
    begin,
    begin_read, ///< begins a read-only transaction
    commit,
    rollback,
    read,
    write,
    set,
    prepare,
    execute,
    deallocate,
    reset, ///< discards values and prepared statements; sent by the proxy only
    malformed
};

/// Largest part of a statement's line that states a position, in bytes.
constexpr std::size_t largest_position = 48;

/// A statement of a session.
struct statement
{
    statement_kind kind = statement_kind::malformed;
    std::string name;     ///< name of the value or prepared statement
    std::string argument; ///< value, shape, or item and data
    bool writes = false;  ///< a `write`, or a `prepare` for writes
    std::string text;     ///< as received from the client

    /// Bytes by which its line may grow on the way to a server.
    std::size_t room = std::numeric_limits<std::size_t>::max();
};

/// A statement sent to a backend server.
struct server_statement
{
    std::string query_id;              ///< empty: added by the proxy
    std::optional<log_position> after; ///< position that the log must include
    statement what;
};

} // namespace tanagerhoist

#endif

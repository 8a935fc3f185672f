#ifndef TANAGERHOIST_SESSION_SESSION_ERROR_HPP
#define TANAGERHOIST_SESSION_SESSION_ERROR_HPP

namespace tanagerhoist
{

/// Errors of sessions and backend servers. Each comment states what the error
/// guarantees about the effect of the statement.
enum class session_error
{
    busy,         ///< not run, no effect
    aborted,      ///< transaction rolled back, no effect
    lagging,      ///< not run: the log lacks the required position
    read_only,    ///< not run: the server is not the primary
    wrong_server, ///< not run: the address belongs to another server or group
    too_many,     ///< not run: connection limit reached
    no_statement, ///< not run: unknown prepared statement
    failed,       ///< run and failed
    timeout,      ///< may have run
    outcome_unknown, ///< a commit or write may have taken effect
    no_key,          ///< unknown key
    no_database,     ///< unknown database
    too_large,
    malformed
};

/// Whether the error guarantees that the server did not run the statement.
inline bool is_not_run(session_error error)
{
    return error == session_error::busy || error == session_error::lagging ||
           error == session_error::read_only ||
           error == session_error::wrong_server ||
           error == session_error::too_many ||
           error == session_error::no_statement;
}

} // namespace tanagerhoist

#endif

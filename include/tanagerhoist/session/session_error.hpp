#ifndef TANAGERHOIST_SESSION_SESSION_ERROR_HPP
#define TANAGERHOIST_SESSION_SESSION_ERROR_HPP

namespace tanagerhoist
{

/// Errors of sessions and of backend servers, in one numbering. The comments
/// say what each promises about the statement's effect.
enum class session_error
{
    busy,            ///< not run, nothing kept
    aborted,         ///< the transaction is rolled back, nothing kept
    lagging,         ///< not run: the log lacks the asked position
    read_only,       ///< not run: the server doesn't lead
    wrong_server,    ///< not run: another server or group answers there
    too_many,        ///< not run: no further connection
    no_statement,    ///< not run: no such prepared name
    failed,          ///< ran and failed
    timeout,         ///< may have run
    outcome_unknown, ///< a commit or write may have taken effect
    no_key,          ///< the key is not known
    no_database,     ///< no route has that name
    too_large,
    malformed
};

/// Whether a server that answers with this error has not run the statement.
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

#ifndef TANAGERHOIST_SESSION_PROXY_TRANSPORT_HPP
#define TANAGERHOIST_SESSION_PROXY_TRANSPORT_HPP

#include "tanagerhoist/session/backend_server.hpp"
#include "tanagerhoist/session/log_position.hpp"
#include "tanagerhoist/session/session_error.hpp"
#include "tanagerhoist/session/statement.hpp"
#include "tanagerhoist/session/transaction_state.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

using session_id = std::uint32_t;
using connection_id = std::uint32_t;

/// Answer to a statement of a session.
struct session_answer
{
    std::vector<std::string> rows;
    /// Where in the first row another one may begin.
    std::vector<std::size_t> row_starts;
    std::string signature;              ///< of the server; "-": the proxy's
    std::optional<session_error> error; ///< set if the statement failed
    std::string text;                   ///< error message
    transaction_state state = transaction_state::none;
    std::optional<log_position> position;

    /// Whether it tells that the statement succeeded or failed.
    bool has_result() const { return error || !signature.empty(); }
};

/// Network operations of the proxy. Implementations must not call back into the
/// proxy before they return.
class proxy_transport
{
public:
    virtual ~proxy_transport() = default;

    virtual void answer(session_id session, const session_answer& answer) = 0;

    /// Confirms to the client that its session is open.
    virtual void accept_session(session_id session) = 0;

    /// Closes the session's connection, after sending `error` if it is set.
    virtual void end_session(session_id session,
                             std::optional<session_error> error) = 0;

    /// Opens a connection to a server for a workspace.
    virtual void open(connection_id connection, const backend_server& server,
                      const std::string& workspace) = 0;
    virtual void send(connection_id connection,
                      const server_statement& statement) = 0;
    virtual void close(connection_id connection) = 0;

    /// Whether bytes of a server have arrived that were not passed on yet.
    virtual bool has_unread(connection_id connection) const = 0;

    /// Requests a grant of operations; a statement is waiting for it.
    virtual void request_grant() = 0;
};

} // namespace tanagerhoist

#endif

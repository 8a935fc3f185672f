#ifndef TANAGERHOIST_SESSION_SERVER_CONNECTION_HPP
#define TANAGERHOIST_SESSION_SERVER_CONNECTION_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/proxy_transport.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// What a server connection is doing.
enum class connection_phase
{
    opening,
    idle,   ///< open, outside a transaction, without an owner
    running ///< a session's statement or transaction owns it
};

/// One connection to a backend server, in one workspace's name.
struct server_connection
{
    std::string server;
    std::string workspace;
    connection_phase phase = connection_phase::opening;
    session_id owner = 0;
    std::map<std::string, std::string> values; ///< as the server holds them
    std::set<std::string> prepared;            ///< names the server holds
    std::deque<server_statement> script;       ///< still to be sent
    server_statement current;                  ///< the unanswered one
    bool busy = false;                         ///< a statement is unanswered
    bool counted = false; ///< among the server's running statements
    moment opened{};
    moment sent{};
    moment idle_since{};
    session_answer answer; ///< being collected

    /// Whether the unanswered statement is the owner's, not the proxy's own.
    bool runs_request() const { return busy && !current.query_id.empty(); }
};

} // namespace tanagerhoist

#endif

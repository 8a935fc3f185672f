#ifndef TANAGERHOIST_SESSION_CLIENT_SESSION_HPP
#define TANAGERHOIST_SESSION_CLIENT_SESSION_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/proxy_transport.hpp"
#include "tanagerhoist/session/session_settings.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace tanagerhoist
{

/// A statement that its client prepared.
struct prepared_statement
{
    bool writes = false;
    std::string shape;

    /// Name at servers, alike for all sessions that prepare this shape.
    std::string shared_name() const;
};

/// Where a session's statement stands.
enum class request_stage
{
    none,    ///< no statement is outstanding
    held,    ///< until the workspace's share grows
    waiting, ///< for a server
    opening, ///< a connection is being opened for it
    running  ///< a server has it
};

/// The statement that a session waits for.
struct session_request
{
    request_stage stage = request_stage::none;
    std::string id;
    statement what;
    moment arrived{};
    moment due{};     ///< aim of its route
    moment expires{}; ///< end of its route's timeout
    moment sent{};    ///< to the server that has it
    bool needs_primary = false;
    bool writes = false; ///< may have an effect by itself: a write, a commit
    bool first = true;   ///< of its transaction, or on its own
    unsigned attempts = 0;
    unsigned priority = 0;
    std::set<std::string> avoid; ///< servers that did not serve it
    std::optional<log_position> after;
    connection_id connection = 0;
    std::string server; ///< that had it last
};

/// One client's session: a connection, its values, names and transaction.
struct client_session
{
    std::string database;
    std::string key;
    std::string workspace;
    std::string group;
    read_consistency consistency = read_consistency::primary;
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
    transaction_state state = transaction_state::none;
    bool reads_only = false;  ///< of the open transaction
    bool wrote = false;       ///< in the open transaction
    bool aborted = false;     ///< rolled back without the client knowing yet
    connection_id pinned = 0; ///< connection of the open transaction
    moment answered{};        ///< when its last answer was given

    /// The workspace's limit was debited for an operation of which no server
    /// has run anything.
    bool refundable_operation = false;
    std::optional<log_position> committed; ///< the session's last commit
    session_request request;
    bool leaving = false; ///< ends once nothing is outstanding

    bool is_idle() const
    {
        return request.stage == request_stage::none &&
               state == transaction_state::none;
    }
};

} // namespace tanagerhoist

#endif

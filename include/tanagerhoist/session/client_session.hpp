#ifndef TANAGERHOIST_SESSION_CLIENT_SESSION_HPP
#define TANAGERHOIST_SESSION_CLIENT_SESSION_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/answer_history.hpp"
#include "tanagerhoist/session/commit_positions.hpp"
#include "tanagerhoist/session/operation_debit.hpp"
#include "tanagerhoist/session/proxy_transport.hpp"
#include "tanagerhoist/session/session_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace tanagerhoist
{

/// A prepared statement of a client session.
struct prepared_statement
{
    bool writes = false;
    std::string shape;
    bool fits_servers = true; ///< they can be told it under its shared name

    /// Name used at the servers, the same for all sessions that prepare this
    /// shape.
    std::string shared_name() const;
};

/// Progress of a session's outstanding statement.
enum class request_stage
{
    none,    ///< no statement is outstanding
    held,    ///< until the workspace is granted more operations
    waiting, ///< queued for a server
    opening, ///< a connection is being opened for it
    running  ///< sent to a server
};

/// Rows of an answer that was not taken.
struct doubted_rows
{
    std::string server;
    std::uint64_t hash = 0;
    doubtful_rows doubt;
    bool asked_again = false; ///< on the same connection
};

/// The outstanding statement of a session.
struct session_request
{
    request_stage stage = request_stage::none;
    std::string id;
    statement what;
    moment arrived{};
    moment due{}; ///< arrival plus the route's target latency
    /// Arrival plus the route's statement timeout, or when this VM leaves.
    moment expires{};
    bool ends_with_vm = false; ///< expires because this VM leaves
    moment sent{};             ///< when it was sent to the server
    bool needs_primary = false;
    /// A write outside a transaction, or a commit of writes.
    bool writes = false;
    bool first = true;  ///< at the server: first of its transaction, or single
    bool moved = false; ///< given up at a silent server
    unsigned attempts = 0;
    /// Times it was sent to a server that has not said that it did not run it.
    unsigned possible_runs = 0;
    unsigned priority = 0;
    std::set<std::string> avoid; ///< servers where it failed
    std::optional<log_position> after;
    connection_id connection = 0;
    std::string server; ///< last server it was sent to

    /// Rows that were not taken because they may belong to another statement.
    std::optional<doubted_rows> doubted;
};

/// State of a client session: its session values, prepared statements,
/// transaction and outstanding statement.
struct client_session
{
    moment started{};
    std::string database;
    std::string key;
    std::string workspace;
    std::string group;
    read_consistency consistency = read_consistency::primary;
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
    std::size_t state_size = 0; ///< bytes of `values` and `prepared`
    transaction_state state = transaction_state::none;
    bool reads_only = false;  ///< the open transaction is read-only
    bool wrote = false;       ///< the open transaction has written
    bool aborted = false;     ///< rolled back; the client has not been told yet
    bool restricted = false;  ///< its route or workspace allows some regions
    connection_id pinned = 0; ///< connection that the open transaction uses
    moment answered{};        ///< time of the last answer

    operation_debit operation; ///< taken from the workspace's limit
    commit_positions committed;
    session_request request;
    bool used = false;    ///< an operation was admitted
    bool leaving = false; ///< to be closed when no statement is outstanding

    bool is_idle() const
    {
        return request.stage == request_stage::none &&
               state == transaction_state::none;
    }
};

} // namespace tanagerhoist

#endif

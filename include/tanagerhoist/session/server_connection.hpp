#ifndef TANAGERHOIST_SESSION_SERVER_CONNECTION_HPP
#define TANAGERHOIST_SESSION_SERVER_CONNECTION_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/answer_history.hpp"
#include "tanagerhoist/session/connection_state.hpp"
#include "tanagerhoist/session/proxy_transport.hpp"

#include <deque>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Phase of a server connection.
enum class connection_phase
{
    opening,
    idle,   ///< open, no transaction, no owner
    running ///< used by a statement or transaction
};

/// A connection to a backend server, used for one workspace only.
struct server_connection
{
    std::string server;
    std::string workspace;
    connection_phase phase = connection_phase::opening;
    session_id owner = 0;
    connection_state state;
    std::deque<server_statement> script; ///< statements still to be sent
    server_statement current;            ///< statement sent last
    bool busy = false;                   ///< `current` is unanswered
    bool counted = false;                ///< included in the server's `running`
    bool in_transaction = false;         ///< by its last answer
    bool receiving = false;              ///< part of an answer
    bool has_begun = false;              ///< a transaction, at any time
    bool is_spent = false;               ///< to be closed instead of reused
    bool ran_own = false; ///< its last answer was to the proxy's statement
    moment opened{};
    moment sent{};
    moment idle_since{};
    moment surplus_since{}; ///< when an answer to no statement began
    moment answered{};      ///< when its last answer was complete
    session_answer answer;  ///< answer to `current`, received so far
    answer_history history; ///< answers before

    /// Whether the unanswered statement is a client's, not one that the proxy
    /// added.
    bool runs_request() const { return busy && !current.query_id.empty(); }

    /// Whether the statement under way may change data.
    bool may_change_data() const;

    /// What the statement under way allows its answer to be.
    expected_answer expected() const;

    /// Whether a client's transaction is open and all of its statements are
    /// answered.
    bool is_between_statements() const
    {
        return !busy && in_transaction && owner != 0;
    }

private:
    transaction_state state_after() const;
};

} // namespace tanagerhoist

#endif

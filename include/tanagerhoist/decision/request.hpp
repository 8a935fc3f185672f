#ifndef TANAGERHOIST_DECISION_REQUEST_HPP
#define TANAGERHOIST_DECISION_REQUEST_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/transaction_table.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace tanagerhoist
{

/// Processing state of a request.
enum class request_state
{
    admitting, ///< waits for its workspace's rate limit
    queued,    ///< waits for a connection
    running,   ///< its statement was sent to a backend server
    confirming ///< waits until enough servers hold its log point
};

/// Kind of server that a request is queued for.
enum class lane_kind
{
    primary,
    replica
};

/// A caller's request, from arrival to answer.
///
/// Invariant: `maybe_ran` is set once bytes of a write have been sent to a
/// server that has not explicitly refused it; from then on no answer may say
/// "not run".
struct request
{
    std::uint64_t id = 0;     ///< unique within the process
    std::uint64_t call = 0;   ///< handle for sending the answer
    std::uint64_t caller = 0; ///< handle of the caller's connection
    proto::Principal principal;
    proto::CallerRequest wire;
    proto::RouteSettings route;
    std::uint64_t weight = 1;
    moment arrived;
    moment deadline;
    moment sent; ///< send time of the pending call

    request_state state = request_state::admitting;
    lane_kind lane = lane_kind::primary;
    bool charged = false;
    bool maybe_ran = false;
    bool confirm_read = false;
    bool has_token = true; ///< false: the session is known but sent no token
    proto::LogPoint token; ///< log point the session has seen here; empty: none

    unsigned attempts = 0;
    /// Servers that replied with data older than the token.
    std::set<std::string> stale_servers;
    std::string server;
    std::uint64_t connection = 0; ///< 0: none acquired
    std::uint64_t tag = 0;        ///< tag of the pending database call
    proto::ExecuteReply result;

    bool waited_for_replica = false;

    transaction_user user() const
    {
        return {caller, principal.workspace(),
                wire.token().session().empty() ? wire.session()
                                               : wire.token().session()};
    }
    bool is_write() const { return route.kind() == "write"; }
    bool in_transaction() const
    {
        return wire.step() != proto::TRANSACTION_NONE;
    }
    bool is_begin() const { return wire.step() == proto::TRANSACTION_BEGIN; }
    bool continues_transaction() const
    {
        return in_transaction() && !is_begin();
    }
};

} // namespace tanagerhoist

#endif

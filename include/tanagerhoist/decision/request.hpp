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

/// Where a request stands between its arrival and its one answer.
enum class request_state
{
    admitting, ///< waits for allowance of its workspace
    queued,    ///< waits for a connection
    running,   ///< a statement of it is at a database server
    confirming ///< waits until enough servers hold its log point
};

/// Which servers may take a request.
enum class lane_kind
{
    primary,
    replica
};

/// One request of a caller, from arrival to answer.
///
/// Invariant: `maybe_ran` turns true when bytes of a write have left for a
/// server and no server has positively refused it since; from then on no
/// answer may say "not run".
struct request
{
    std::uint64_t id = 0;     ///< unique within the process
    std::uint64_t call = 0;   ///< handle of the pending answer
    std::uint64_t caller = 0; ///< handle of the caller's connection
    proto::Principal principal;
    proto::CallerRequest wire;
    proto::RouteSettings route;
    std::uint64_t weight = 1;
    moment arrived;
    moment deadline;
    moment sent; ///< when the outstanding call left

    request_state state = request_state::admitting;
    lane_kind lane = lane_kind::primary;
    bool charged = false;
    bool maybe_ran = false;
    bool confirm_read = false;
    bool has_token = true; ///< false: a known session lost its token
    proto::LogPoint token; ///< what the session has seen here; empty: nothing

    unsigned attempts = 0;
    std::set<std::string> stale_servers; ///< answered below the token
    std::string server;
    std::uint64_t connection = 0; ///< 0: holds none
    std::uint64_t tag = 0;        ///< outstanding database call
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

// Second part of request processing: from the queue to a server, retries and
// timeouts.

#include "tanagerhoist/core/log_point.hpp"
#include "tanagerhoist/decision/authenticator.hpp"
#include "tanagerhoist/decision/request_flow.hpp"

#include <algorithm>

namespace tanagerhoist
{

void request_flow::pump(moment now)
{
    abandon_superseded(now);
    pump_admission(now);
    pump_lanes(now);
}

void request_flow::pump_lanes(moment now)
{
    for (auto it = nonempty_lanes_.begin(); it != nonempty_lanes_.end();)
    {
        const bool empty = pump_lane(now, lanes_.find(*it)->second);
        it = empty ? nonempty_lanes_.erase(it) : std::next(it);
    }
}

/// Dispatches requests of a lane until one has to wait.
/// @return whether the lane is empty
bool request_flow::pump_lane(moment now, lane& l)
{
    while (true)
    {
        if (!l.head)
        {
            l.head = l.queue.pop(now);
        }
        if (!l.head)
        {
            return l.queue.size() == 0;
        }
        const auto id = *l.head;
        if (find(id) != nullptr && !dispatch_head(now, id))
        {
            return false;
        }
        l.head.reset();
    }
}

/// Acquires a connection for the head of a lane and sends it.
/// @return false if it must wait
bool request_flow::dispatch_head(moment now, std::uint64_t id)
{
    request& r = *find(id);
    const auto code = recheck(r);
    if (code != result_code::ok)
    {
        answer(now, id, code);
        return true;
    }
    const auto servers = candidates(now, r);
    if (!servers.empty() && await_replica(now, r, servers.front()))
    {
        return true;
    }
    for (const auto& server : servers)
    {
        if (reserves_primary(now, r, server, servers))
        {
            continue;
        }
        const auto connection =
            modules_.pool.acquire(now, server, modules_.out);
        if (connection)
        {
            r.server = server;
            r.connection = *connection;
            send(now, r);
            return true;
        }
    }
    return false;
}

/// Whether a read must not use the primary yet: a replica could serve it too
/// and may soon have a free connection, and the primary is left to writes.
bool request_flow::reserves_primary(
    moment now, const request& r, const std::string& server,
    const std::vector<std::string>& servers) const
{
    return r.lane == lane_kind::replica && servers.size() > 1 &&
           server == servers.back() && server == primary_of(r) &&
           now - r.arrived < options_.replica_connection_wait;
}

/// Delays a read, at most once, if a replica is expected to reach its token
/// soon.
/// @return whether the read was delayed
bool request_flow::await_replica(moment now, request& r,
                                 const std::string& server)
{
    const auto* belief = modules_.primaries.primary(r.route.database());
    const bool is_replica = belief != nullptr && belief->server() != server;
    if (r.lane != lane_kind::replica || r.waited_for_replica || !is_replica)
    {
        return false;
    }
    const auto wait =
        modules_.replicas.expected_wait(now, server, belief->server(), r.token);
    if (!wait || *wait <= microseconds(0))
    {
        return false;
    }
    r.waited_for_replica = true;
    paused_[r.id] = now + *wait;
    note(r, "delayed", "replica_expected", result_code::ok, server);
    return true;
}

/// Repeats the checks whose result may have changed while the request waited.
result_code request_flow::recheck(const request& r) const
{
    if (!r.principal.key_id().empty() && !still_valid(*view_, r.principal))
    {
        return result_code::key_withdrawn;
    }
    const auto* database = view_->database(r.route.database());
    if (database == nullptr || is_yes(database->leaving()))
    {
        return result_code::database_leaving;
    }
    return result_code::ok;
}

std::vector<std::string> request_flow::candidates(moment now, const request& r)
{
    const std::string primary = primary_of(r);
    if (r.lane == lane_kind::primary)
    {
        return primary.empty() ? std::vector<std::string>()
                               : std::vector<std::string>{primary};
    }
    std::vector<std::string> servers;
    for (const auto* server : view_->servers_of(r.route.database()))
    {
        if (r.stale_servers.count(server->name()) == 0)
        {
            servers.push_back(server->name());
        }
    }
    return modules_.replicas.candidates(
        now, servers, primary, r.token, r.has_token,
        milliseconds(r.route.tolerated_age_ms()));
}

void request_flow::send(moment now, request& r)
{
    r.state = request_state::running;
    r.sent = now;
    ++r.attempts;
    proto::DatabaseCall call;
    auto& execute = *call.mutable_execute();
    execute.set_request_id(r.wire.request_id());
    execute.set_kind(r.is_write() ? proto::STATEMENT_WRITE
                                  : proto::STATEMENT_READ);
    execute.set_statement(r.wire.statement());
    execute.set_step(r.wire.step());
    execute.set_workspace(r.principal.workspace());
    const auto* belief = modules_.primaries.primary(r.route.database());
    if (belief != nullptr && belief->server() == r.server)
    {
        execute.set_term(belief->term());
    }
    const auto longest =
        r.is_write() ? options_.write_timeout : options_.read_timeout;
    const auto left =
        std::chrono::duration_cast<milliseconds>(r.deadline - now);
    const auto timeout = std::clamp(left, milliseconds(1), longest);
    const auto id = r.id;
    r.tag = modules_.out.call_database(
        r.server, r.connection, std::move(call), timeout,
        [this, id](moment at, const proto::DatabaseReply* reply, bool sent)
        { on_database(at, id, reply, sent); });
    note(r, "dispatched", r.lane == lane_kind::primary ? "primary" : "replica",
         result_code::ok);
}

/// Ends calls that wait for a server which is no longer the primary.
void request_flow::abandon_superseded(moment now)
{
    if (primary_changes_ == modules_.primaries.changes())
    {
        return;
    }
    primary_changes_ = modules_.primaries.changes();
    std::vector<std::uint64_t> stuck;
    for (const auto& [id, r] : requests_)
    {
        const bool at_primary =
            r.state == request_state::running && r.lane == lane_kind::primary;
        const auto* belief = modules_.primaries.primary(r.route.database());
        if (at_primary && belief != nullptr && belief->server() != r.server)
        {
            stuck.push_back(id);
        }
    }
    for (const auto id : stuck)
    {
        if (request* r = find(id))
        {
            modules_.out.forget(r->tag);
            release_queue_slot(now, *r);
            on_failure(now, *r, true);
        }
    }
}

void request_flow::retry(moment now, request& r, lane_kind lane)
{
    if (now >= r.deadline)
    {
        answer(now, r.id, expiry_code(r));
        return;
    }
    note(r, "retried", r.lane == lane ? "same_lane" : "at_primary",
         result_code::ok);
    r.lane = lane;
    r.state = request_state::queued;
    paused_[r.id] = now + options_.retry_pause;
}

/// Closes the connections of abandoned transactions, so that the database rolls
/// them back.
void request_flow::end_transactions(moment now,
                                    const std::vector<open_transaction>& ended)
{
    for (const auto& transaction : ended)
    {
        modules_.pool.release(now, transaction.connection, false, modules_.out);
    }
}

/// Reports to the pool how many requests wait for each server. Requests for
/// replicas are divided evenly among them.
void request_flow::report_waiting_requests(moment now)
{
    for (auto& [key, l] : lanes_)
    {
        const auto& [database, kind] = key;
        const auto* belief = modules_.primaries.primary(database);
        const std::string primary = belief == nullptr ? "" : belief->server();
        const auto& servers = view_->servers_of(database);
        const std::uint64_t waiting = l.queue.size() + (l.head ? 1 : 0);
        const std::uint64_t replicas =
            std::max<std::uint64_t>(servers.size(), 2) - 1;
        const bool at_primary = kind == lane_kind::primary;
        const std::uint64_t each =
            at_primary ? waiting : (waiting + replicas - 1) / replicas;
        for (const auto* server : servers)
        {
            if ((server->name() == primary) == at_primary)
            {
                modules_.pool.waiting(now, server->name(), each, modules_.out);
            }
        }
    }
}

void request_flow::release(moment now, request& r, bool clean)
{
    if (r.connection != 0)
    {
        modules_.pool.release(now, r.connection, clean, modules_.out);
        r.connection = 0;
    }
}

void request_flow::on_tick(moment now)
{
    for (auto it = paused_.begin(); it != paused_.end();)
    {
        if (it->second > now)
        {
            ++it;
            continue;
        }
        const auto id = it->first;
        it = paused_.erase(it);
        if (request* r = find(id))
        {
            enqueue(now, *r);
        }
    }
    expire(now);
    end_transactions(now, modules_.transactions.expire(now));
    report_waiting_requests(now);
    pump(now);
}

void request_flow::expire(moment now)
{
    std::vector<std::uint64_t> late;
    for (const auto& [id, r] : requests_)
    {
        if (now >= r.deadline && r.state != request_state::confirming)
        {
            late.push_back(id);
        }
    }
    for (const auto id : late)
    {
        request& r = *find(id);
        if (r.state == request_state::running)
        {
            on_expired_call(now, r);
        }
        answer(now, id, expiry_code(r));
    }
}

/// Ends the call of a request whose deadline has passed. The server may still
/// execute the statement, so the connection cannot be reused.
void request_flow::on_expired_call(moment now, request& r)
{
    modules_.out.forget(r.tag);
    release_queue_slot(now, r);
    const bool rolled_back =
        r.in_transaction() && r.wire.step() != proto::TRANSACTION_COMMIT;
    r.maybe_ran = r.maybe_ran || (r.is_write() && !rolled_back);
    if (r.continues_transaction())
    {
        abort_transaction(now, r);
    }
    release(now, r, false);
}

/// Reports to the queue that a request no longer occupies the database.
void request_flow::release_queue_slot(moment now, const request& r)
{
    if (!r.continues_transaction())
    {
        lane_of(r).queue.finished(now, now - r.sent);
    }
}

std::string request_flow::primary_of(const request& r) const
{
    const auto* belief = modules_.primaries.primary(r.route.database());
    return belief == nullptr ? std::string() : belief->server();
}

/// The most specific result code for a request whose deadline has passed.
result_code request_flow::expiry_code(const request& r) const
{
    if (r.state == request_state::admitting)
    {
        return result_code::deadline_too_short;
    }
    if (!r.stale_servers.empty())
    {
        return result_code::no_fresh_server;
    }
    if (r.lane == lane_kind::primary &&
        modules_.primaries.primary(r.route.database()) == nullptr)
    {
        return result_code::no_primary;
    }
    return r.attempts == 0 ? result_code::connection_unavailable
                           : result_code::no_primary;
}

} // namespace tanagerhoist

#include "tanagerhoist/session/proxy.hpp"

#include <algorithm>

// Timeouts of a proxy.
namespace tanagerhoist
{
namespace
{

/// Time without an answer after which a server is probed with a new connection.
constexpr milliseconds silence_before_probe{500};

constexpr milliseconds open_timeout{450};

/// Part of an isolated VM's sessions that is ended in a tick.
constexpr std::size_t idle_sessions_part = 32;

/// How long a server must be failing before its reads move to other servers.
constexpr milliseconds failing_before_reads_move{200};

/// Longest time between two ticks of a VM that was not stopped meanwhile.
constexpr milliseconds longest_tick_pause = 2 * proxy::tick_interval;

} // namespace

void proxy::tick(moment now)
{
    run_pass(now, [this, now] { tick_in_pass(now); });
}

/// The work of a tick, within one pass.
void proxy::tick_in_pass(moment now)
{
    expire_requests(now);
    end_idle_transactions(now);
    end_partial_surplus(now);
    close_scarce_idle(now);
    admit_held(now);
    check_silent_servers(now);
    // After a pause of this VM, answers may have come that it has yet to read.
    if (now < last_tick_ + longest_tick_pause)
    {
        move_overdue_reads(now);
    }
    last_tick_ = now;
    abort_at_sealed_primaries(now);
    abort_at_closed_servers(now);
    note_warmups(now);
    send_permitted(now);
    ask_positions(now);
    for (auto& [name, group] : groups_)
    {
        dispatch(now, name);
    }
    if (drain_)
    {
        drain(now);
    }
    else
    {
        move_idle_sessions(now);
    }
}

/// Ends idle sessions of an isolated VM a few at a time, so that their clients
/// connect to VMs that can serve them. It begins once the balancer has noticed
/// that this VM is not ready. Sessions that come after that stay: the balancer
/// has no VM that is ready.
void proxy::move_idle_sessions(moment now)
{
    if (!is_isolated(now))
    {
        isolated_since_.reset();
        return;
    }
    isolated_since_ = isolated_since_.value_or(now);
    const auto noticed = *isolated_since_ + balancer_detection_time;
    if (now < noticed)
    {
        return;
    }
    std::vector<session_id> ending;
    const auto most = 1 + sessions_.size() / idle_sessions_part;
    for (auto it = sessions_.begin();
         it != sessions_.end() && ending.size() < most; ++it)
    {
        if (it->second.is_idle() && it->second.started < noticed)
        {
            ending.push_back(it->first);
        }
    }
    for (const auto id : ending)
    {
        end_session(now, id, std::nullopt);
    }
}

/// Takes a statement out of the queue, or from the connection that is being
/// opened for it.
void proxy::withdraw(session_id id, const client_session& session)
{
    auto& waiting = groups_[session.group].waiting;
    waiting.erase(std::remove(waiting.begin(), waiting.end(), id),
                  waiting.end());
    if (session.request.stage != request_stage::opening)
    {
        return;
    }
    const auto opening = connections_.find(session.request.connection);
    if (opening != connections_.end())
    {
        opening->second.owner = 0;
    }
}

/// Refuses a statement that has not been sent to a server.
void proxy::refuse_waiting(moment now, session_id id, client_session& session,
                           session_error error, const std::string& text,
                           const std::string& inputs)
{
    withdraw(id, session);
    if (session.state == transaction_state::open)
    {
        const bool is_commit =
            session.request.what.kind == statement_kind::commit;
        session.state =
            is_commit ? transaction_state::none : transaction_state::failed;
    }
    answer_error(now, id, session, error, text, inputs);
}

void proxy::expire_requests(moment now)
{
    std::vector<session_id> expired;
    for (const auto& [id, session] : sessions_)
    {
        if (session.request.stage != request_stage::none &&
            now >= session.request.expires)
        {
            expired.push_back(id);
        }
    }
    for (const auto id : expired)
    {
        const auto found = sessions_.find(id);
        if (found == sessions_.end())
        {
            continue;
        }
        if (found->second.request.ends_with_vm)
        {
            answer_overtaken(now, id, found->second);
        }
        else if (found->second.request.stage != request_stage::running)
        {
            refuse_expired(now, id, found->second);
        }
        else
        {
            expire_running(now, id, found->second);
        }
    }
}

/// Aborts a statement that has not been answered before its timeout.
void proxy::expire_running(moment now, session_id id, client_session& session)
{
    const auto it = connections_.find(session.request.connection);
    if (it != connections_.end())
    {
        auto* server = find_server(it->second.server);
        if (server != nullptr && server->last_contact() < it->second.sent)
        {
            server->mark_failing(now);
        }
        record_outcome(now, it->second.server, server_outcome::no_answer);
    }
    ++figures_.refusals["server_too_slow"];
    break_off(now, id, session, session_error::timeout,
              "the server took too long");
}

/// Answers a running statement without its server, which rolls back what it has
/// not committed.
/// @param failure error for a statement that ran and had no effect
void proxy::break_off(moment now, session_id id, client_session& session,
                      session_error failure, const std::string& text)
{
    const auto& request = session.request;
    const auto it = connections_.find(request.connection);
    const bool sent = it != connections_.end() && it->second.runs_request();
    close_connection(request.connection);
    session.pinned = 0;
    const bool is_commit = request.what.kind == statement_kind::commit;
    auto error = sent ? failure : session_error::busy;
    if (request.writes && sent)
    {
        error = session_error::outcome_unknown;
        session.state = transaction_state::none;
    }
    else if (session.state == transaction_state::open)
    {
        error = session_error::aborted;
        session.state =
            is_commit ? transaction_state::none : transaction_state::failed;
    }
    answer_error(now, id, session, error, text);
}

/// Rolls back transactions whose clients have been idle for too long, since
/// each occupies a connection.
void proxy::end_idle_transactions(moment now)
{
    const bool limited =
        settings_ && settings_->transaction_idle > milliseconds(0);
    if (!limited)
    {
        return;
    }
    for (auto& [id, session] : sessions_)
    {
        const bool waits_for_client =
            session.pinned != 0 && session.request.stage == request_stage::none;
        if (waits_for_client &&
            now >= session.answered + settings_->transaction_idle)
        {
            log_statement(log_level::change, "transaction_idle", now, session,
                          "rolled back");
            ++figures_.refusals["transaction_idle"];
            session.aborted = true;
            roll_back_at_server(now, session);
        }
    }
}

/// Probes servers with overdue answers, and moves reads away from failing
/// ones.
void proxy::check_silent_servers(moment now)
{
    std::vector<connection_id> late;
    std::vector<connection_id> leaving;
    std::unordered_map<std::string, bool> silent;
    for (const auto& [id, connection] : connections_)
    {
        const auto* server = find_server(connection.server);
        if (connection.phase == connection_phase::opening)
        {
            if (now >= connection.opened + open_timeout)
            {
                late.push_back(id);
            }
            continue;
        }
        if (server == nullptr || !connection.busy)
        {
            continue;
        }
        const auto last = std::max(connection.sent, server->last_contact());
        if (now >= last + silence_before_probe && server->opening == 0 &&
            server->may_try(now))
        {
            silent[connection.server] = true;
        }
        if (server->is_failing() &&
            now >= server->failing_since() + failing_before_reads_move)
        {
            const auto owner = sessions_.find(connection.owner);
            if (owner == sessions_.end() || !owner->second.request.writes)
            {
                leaving.push_back(id);
            }
        }
    }
    for (const auto id : late)
    {
        connection_lost(now, id);
    }
    for (const auto id : leaving)
    {
        if (connections_.count(id) != 0)
        {
            abort_running(now, id);
        }
    }
    probe_failing_primaries(now, silent);
    for (const auto& [id, is_silent] : silent)
    {
        probe(now, id);
    }
}

void proxy::probe_failing_primaries(
    moment now, std::unordered_map<std::string, bool>& silent) const
{
    for (const auto& [name, lead] : leads_)
    {
        const auto* state = server(lead.primary());
        if (state != nullptr && state->is_failing() && state->opening == 0 &&
            state->may_try(now))
        {
            silent[lead.primary()] = true;
        }
    }
}

/// Probes a server by opening a connection that no statement waits for.
void proxy::probe(moment now, const std::string& id)
{
    auto* state = find_server(id);
    if (state != nullptr && !state->server.is_evacuated() && settings_ &&
        !settings_->workspaces.empty())
    {
        open_connection(now, *state, probing_workspace(*state), 0);
    }
}

} // namespace tanagerhoist

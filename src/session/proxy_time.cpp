#include "tanagerhoist/session/proxy.hpp"

#include <algorithm>
#include <utility>

// Fleet state known to a proxy, and its timeouts.
namespace tanagerhoist
{
namespace
{

/// Time that statements running at a primary have to finish after it is sealed.
constexpr milliseconds seal_grace{150};

/// Time without an answer after which a server is probed with a new connection.
constexpr milliseconds silence_before_probe{500};

constexpr milliseconds open_timeout{450};

/// How long a server must be failing before its reads move to other servers,
/// and before a primary is reported as unreachable.
constexpr milliseconds failing_before_reads_move{200};
constexpr milliseconds failing_before_report{250};
constexpr milliseconds recent_contact{700};

} // namespace

proxy::proxy(std::string data_centre, workspace_limits limits,
             proxy_transport& transport, structured_log& log)
    : data_centre_(std::move(data_centre)),
      transport_(transport),
      log_(log),
      limits_(std::move(limits))
{
}

proxy::~proxy() = default;

server_state* proxy::find_server(const std::string& id)
{
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
}

const server_state* proxy::server(const std::string& id) const
{
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
}

const proto::GroupLead* proxy::lead_of(const std::string& group) const
{
    const auto it = leads_.find(group);
    return it == leads_.end() ? nullptr : &it->second;
}

void proxy::use_settings(moment now,
                         std::shared_ptr<const session_settings> settings)
{
    if (settings_ && settings->version <= settings_->version)
    {
        return;
    }
    log_.write(log_level::change, "settings",
               {{"version", std::to_string(settings->version)},
                {"before", settings_ ? std::to_string(settings_->version)
                                     : std::string("-")}});
    settings_ = std::move(settings);
    limits_.use_settings(now, *settings_);
    std::vector<session_id> ended;
    for (auto& [id, session] : sessions_)
    {
        const auto* route = settings_->route(session.database);
        const bool keyless = route != nullptr && route->open;
        const bool allowed =
            route != nullptr &&
            (keyless || settings_->workspace_of(session.key) != nullptr);
        if (!allowed)
        {
            session.leaving = true;
            ended.push_back(id);
        }
    }
    for (const auto id : ended)
    {
        auto& session = sessions_.at(id);
        const auto stage = session.request.stage;
        if (stage != request_stage::none && stage != request_stage::running)
        {
            refuse_waiting(now, id, session, session_error::no_key,
                           "taken away, not run");
        }
        end_session_if_done(now, id);
    }
}

void proxy::use_servers(moment now, const server_list& servers)
{
    std::vector<std::string> gone;
    for (auto& [id, state] : servers_)
    {
        const auto it = servers.find(id);
        const bool replaced =
            it != servers.end() && it->second.address != state.server.address;
        if (it == servers.end() || replaced)
        {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone)
    {
        const auto* lead = lead_of(servers_.at(id).server.group);
        if (lead != nullptr && lead->primary() == id && servers.count(id) == 0)
        {
            continue; // its entry may have expired while it is still primary
        }
        log_.write(log_level::change, "server_gone", {{"server", id}});
        remove_server(now, id);
    }
    for (const auto& [id, server] : servers)
    {
        const auto [it, added] = servers_.try_emplace(id, server);
        auto& state = it->second;
        if (added || state.server.draining != server.draining)
        {
            log_.write(log_level::change,
                       server.draining ? "server_draining" : "server_ready",
                       {{"server", id}, {"group", server.group}});
        }
        if (server.draining && !state.server.draining)
        {
            state.draining_since = now;
        }
        if (added && server.draining)
        {
            state.draining_since = now;
        }
        state.server = server;
    }
    close_idle_at_draining();
    for (auto& [name, group] : groups_)
    {
        dispatch(now, name);
    }
}

void proxy::remove_server(moment now, const std::string& id)
{
    for (const auto connection : connections_of(id))
    {
        const bool idle =
            connections_.at(connection).phase == connection_phase::idle;
        if (idle)
        {
            close_connection(connection);
        }
        else
        {
            connection_lost(now, connection);
        }
    }
    servers_.erase(id);
}

std::vector<connection_id>
proxy::connections_of(const std::string& server) const
{
    std::vector<connection_id> found;
    for (const auto& [id, connection] : connections_)
    {
        if (connection.server == server)
        {
            found.push_back(id);
        }
    }
    return found;
}

/// Closes the idle connections for which `closes(connection, server)` holds.
template <typename Predicate>
void proxy::close_idle_if(Predicate closes)
{
    std::vector<connection_id> closing;
    for (const auto& [id, connection] : connections_)
    {
        const auto* server = find_server(connection.server);
        if (server != nullptr && connection.phase == connection_phase::idle &&
            closes(connection, *server))
        {
            closing.push_back(id);
        }
    }
    for (const auto id : closing)
    {
        close_connection(id);
    }
}

void proxy::close_idle_at_draining()
{
    close_idle_if([](const server_connection&, const server_state& server)
                  { return server.server.draining; });
}

/// Gives back idle connections at servers that have fewer than there are VMs.
void proxy::close_scarce_idle(moment now)
{
    if (!settings_)
    {
        return;
    }
    close_idle_if(
        [this, now](const server_connection& connection,
                    const server_state& server)
        {
            const auto idle_time = budget_at(server).idle_time;
            return idle_time && now >= connection.idle_since + *idle_time;
        });
}

void proxy::use_members(moment now, std::size_t members)
{
    if (members == 0 || members == members_)
    {
        return;
    }
    members_ = members;
    limits_.use_members(now, members);
}

void proxy::use_lead(moment now, const proto::GroupLead& lead)
{
    auto& known = leads_[lead.group()];
    if (lead.epoch() <= known.epoch())
    {
        return;
    }
    log_.write(log_level::change, lead.sealed() ? "primary_sealed" : "primary",
               {{"group", lead.group()},
                {"server", lead.primary()},
                {"epoch", std::to_string(lead.epoch())},
                {"term", std::to_string(lead.term())},
                {"right_ms", std::to_string(to_ms(primary_lease_.age(now)))}});
    const auto before = known.primary();
    known = lead;
    auto& group = groups_[lead.group()];
    group.promotion_waits_until.reset();
    if (lead.sealed())
    {
        group.sealed_at = now;
        return;
    }
    if (before != lead.primary())
    {
        group.history.clear();
        if (!before.empty())
        {
            abort_running_at(now, before, true);
        }
    }
    dispatch(now, lead.group());
}

void proxy::use_position(moment sent, const proto::PositionSample& sample)
{
    const auto* lead = lead_of(sample.group());
    // While the primary is sealed, the coordinator tells the log end of the
    // demoted one, so that reads at replicas go on.
    if (lead != nullptr && lead->term() == sample.term())
    {
        groups_[sample.group()].history.add(
            {sent - milliseconds(sample.age_ms()),
             {sample.term(), sample.number()}});
    }
}

void proxy::use_seal_wait(moment now, const proto::SealWait& wait)
{
    const auto* lead = lead_of(wait.group());
    if (lead == nullptr || !lead->sealed())
    {
        return;
    }
    groups_[wait.group()].promotion_waits_until =
        now + milliseconds(wait.wait_ms());
    dispatch(now, wait.group());
}

/// Aborts running statements at a server that is no longer the primary.
/// @param writes true: statements that require the primary; false: statements
/// that cannot have had an effect
void proxy::abort_running_at(moment now, const std::string& server, bool writes)
{
    for (const auto id : connections_of(server))
    {
        const auto it = connections_.find(id);
        if (it == connections_.end() ||
            it->second.phase != connection_phase::running)
        {
            continue;
        }
        const auto session = sessions_.find(it->second.owner);
        const bool primary_use =
            session == sessions_.end() || session->second.request.needs_primary;
        const bool effect =
            session != sessions_.end() && session->second.request.writes;
        if (writes ? primary_use : !effect)
        {
            abort_running(now, id);
        }
    }
}

/// Closes a running connection without marking its server as failing.
void proxy::abort_running(moment now, connection_id id)
{
    const auto it = connections_.find(id);
    const auto owner = it->second.owner;
    const bool sent = it->second.runs_request();
    close_connection(id);
    const auto found = sessions_.find(owner);
    if (found == sessions_.end())
    {
        return;
    }
    auto& session = found->second;
    if (session.request.stage == request_stage::running &&
        session.request.connection == id)
    {
        handle_lost_connection(now, owner, session, sent);
    }
    else if (session.pinned == id)
    {
        session.pinned = 0;
        session.aborted = true;
    }
}

void proxy::dispatch_group_of(moment now, const std::string& server)
{
    if (const auto* state = find_server(server))
    {
        const auto group = state->server.group;
        dispatch(now, group);
    }
}

void proxy::tick(moment now)
{
    expire_requests(now);
    end_idle_transactions(now);
    close_scarce_idle(now);
    admit_held(now);
    check_silent_servers(now);
    abort_at_sealed_primaries(now);
    for (auto& [name, group] : groups_)
    {
        dispatch(now, name);
    }
    if (draining_)
    {
        drain(now);
    }
}

bool proxy::has_work() const
{
    return std::any_of(sessions_.begin(), sessions_.end(),
                       [](const auto& entry)
                       { return !entry.second.is_idle(); });
}

/// Refuses a statement that has not been sent to a server.
void proxy::refuse_waiting(moment now, session_id id, client_session& session,
                           session_error error, const std::string& text)
{
    auto& waiting = groups_[session.group].waiting;
    waiting.erase(std::remove(waiting.begin(), waiting.end(), id),
                  waiting.end());
    if (session.request.stage == request_stage::opening)
    {
        const auto opening = connections_.find(session.request.connection);
        if (opening != connections_.end())
        {
            opening->second.owner = 0;
        }
    }
    if (session.state == transaction_state::open)
    {
        const bool is_commit =
            session.request.what.kind == statement_kind::commit;
        session.state =
            is_commit ? transaction_state::none : transaction_state::failed;
    }
    answer_error(now, id, session, error, text);
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
        if (found->second.request.stage != request_stage::running)
        {
            ++figures_.refusals["no_server_in_time"];
            refuse_waiting(now, id, found->second, session_error::busy,
                           "no server in time, not run");
            continue;
        }
        expire_running(now, id, found->second);
    }
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

/// Aborts a statement that has not been answered before its timeout.
void proxy::expire_running(moment now, session_id id, client_session& session)
{
    auto& request = session.request;
    const auto connection = request.connection;
    const auto it = connections_.find(connection);
    const bool sent = it != connections_.end() && it->second.runs_request();
    if (it != connections_.end())
    {
        auto* server = find_server(it->second.server);
        if (server != nullptr && server->last_contact() < it->second.sent)
        {
            server->mark_failing(now);
        }
        close_connection(connection);
    }
    session.pinned = 0;
    session.refundable_operation = session.refundable_operation && !sent;
    const bool is_commit = request.what.kind == statement_kind::commit;
    auto error = session_error::timeout;
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
    else if (!sent)
    {
        error = session_error::busy;
    }
    ++figures_.refusals["server_too_slow"];
    answer_error(now, id, session, error, "the server took too long");
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
    if (state != nullptr && settings_ && !settings_->workspaces.empty())
    {
        open_connection(now, *state, settings_->workspaces.begin()->first, 0);
    }
}

/// Aborts statements at sealed primaries after the grace period, or at once if
/// the server is failing.
void proxy::abort_at_sealed_primaries(moment now)
{
    for (const auto& [name, lead] : leads_)
    {
        if (!lead.sealed())
        {
            continue;
        }
        const auto* state = server(lead.primary());
        const bool dead = state == nullptr || state->is_failing();
        if (dead || now >= groups_[name].sealed_at + seal_grace)
        {
            abort_running_at(now, lead.primary(), true);
        }
    }
}

void proxy::describe(moment now, proto::VmReport& report)
{
    for (const auto& [name, lead] : leads_)
    {
        const auto* state = server(lead.primary());
        const bool failing = state == nullptr || state->is_failing();
        if (state != nullptr && failing &&
            now >= state->failing_since() + failing_before_report)
        {
            report.add_unreachable(lead.primary());
        }
        else if (state != nullptr && !failing &&
                 now < state->last_contact() + recent_contact)
        {
            report.add_reachable(lead.primary());
        }
        if (lead.sealed() && !has_primary_work_at(lead.primary()))
        {
            auto& ack = *report.add_sealed();
            ack.set_group(name);
            ack.set_epoch(lead.epoch());
        }
        const auto sample = groups_[name].history.newest();
        if (sample && !lead.sealed())
        {
            auto& reported = *report.add_positions();
            reported.set_group(name);
            reported.set_term(sample->position.term);
            reported.set_number(sample->position.number);
            reported.set_age_ms(to_ms(now - sample->covers) + 1);
        }
    }
    for (auto& demand : limits_.demand(now, held_statements()))
    {
        *report.add_demand() = std::move(demand);
    }
}

bool proxy::is_sealed_primary_in_use() const
{
    return std::any_of(leads_.begin(), leads_.end(),
                       [this](const auto& entry)
                       {
                           const auto& lead = entry.second;
                           return lead.sealed() &&
                                  has_primary_work_at(lead.primary());
                       });
}

/// Whether a statement that requires the primary is running at the server.
bool proxy::has_primary_work_at(const std::string& server) const
{
    return std::any_of(connections_.begin(), connections_.end(),
                       [this, &server](const auto& entry)
                       {
                           const auto& connection = entry.second;
                           if (connection.server != server ||
                               connection.phase != connection_phase::running)
                           {
                               return false;
                           }
                           const auto owner = sessions_.find(connection.owner);
                           return owner == sessions_.end() ||
                                  owner->second.request.needs_primary;
                       });
}

bool proxy::is_ready(moment now) const
{
    if (!settings_ || draining_ || !primary_lease_.is_valid(now))
    {
        return false;
    }
    return std::all_of(settings_->groups.begin(), settings_->groups.end(),
                       [this](const auto& group)
                       { return lead_of(group.first) != nullptr; });
}

void proxy::begin_drain(moment close_idle, moment end_transactions)
{
    draining_ = true;
    close_idle_ = close_idle;
    end_transactions_ = end_transactions;
}

void proxy::drain(moment now)
{
    if (now < close_idle_)
    {
        return;
    }
    std::vector<session_id> ending;
    for (const auto& [id, session] : sessions_)
    {
        const bool outstanding = session.request.stage != request_stage::none;
        if (session.is_idle() || (!outstanding && now >= end_transactions_))
        {
            ending.push_back(id);
        }
    }
    for (const auto id : ending)
    {
        end_session(now, id, std::nullopt);
    }
}

} // namespace tanagerhoist

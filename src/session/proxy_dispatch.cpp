#include "tanagerhoist/session/proxy.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

// Assignment of queued statements to servers.
namespace tanagerhoist
{
namespace
{

/// Allowance for the time from choosing a position to the read at the server.
constexpr milliseconds staleness_margin{60};

/// Concurrent statements that a VM may always have at a server.
constexpr unsigned min_running = 2;

/// How long a draining primary gets new work while its successor is chosen.
constexpr milliseconds draining_primary_use{5000};

/// Weight of the statements without a workspace that has a rate.
constexpr double unlimited_weight = 50;

/// Times their mean answer time, by which most statements are answered.
constexpr double answer_time_margin = 1.5;

/// Sets a flag during its own lifetime.
class flag_guard
{
public:
    explicit flag_guard(bool& flag) : flag_(flag) { flag_ = true; }
    ~flag_guard() { flag_ = false; }
    flag_guard(const flag_guard&) = delete;
    flag_guard& operator=(const flag_guard&) = delete;

private:
    bool& flag_;
};

} // namespace

/// Runs a step that walks sessions, connections or servers. Groups that become
/// due for dispatching meanwhile are dispatched after it: dispatching ends
/// sessions and uses connections, also such that the step has yet to reach.
void proxy::run_pass(moment now, const std::function<void()>& pass)
{
    if (in_pass_)
    {
        pass();
        return;
    }
    const flag_guard guard(in_pass_);
    pass();
    while (!due_groups_.empty())
    {
        const auto group = due_groups_.extract(due_groups_.begin());
        assign_waiting(now, group.value());
    }
}

/// Assigns a group's queued statements to servers, at once or after the pass
/// that is running.
void proxy::dispatch(moment now, const std::string& group)
{
    run_pass(now, [this, &group] { due_groups_.insert(group); });
}

/// Assigns queued statements to servers in scheduling order.
void proxy::assign_waiting(moment now, const std::string& group)
{
    auto& state = groups_[group];
    if (drain_)
    {
        reject_too_late(now, group);
    }
    if (state.waiting.empty())
    {
        return;
    }
    std::vector<queued_statement> assigned;
    std::vector<queued_statement> kept;
    std::vector<session_id> rejected_reads;
    std::vector<session_id> out_of_reach;
    std::vector<session_id> evacuated;
    std::vector<session_id> allowed_evacuated;
    std::vector<session_id> outside_regions;
    for (const auto& statement : take_waiting(now, group))
    {
        const auto id = statement.id;
        auto& session = sessions_.at(id);
        if (refused_by_region(session) != region_refusal::none)
        {
            outside_regions.push_back(id);
            continue;
        }
        const bool hopeless =
            session.request.needs_primary && primary_out_of_reach(now, session);
        if (!hopeless && place(now, id, session))
        {
            if (sessions_.count(id) != 0) // else it was answered and ended
            {
                state.order.charge(statement);
                assigned.push_back(statement);
            }
        }
        else if (has_only_evacuated_servers(now, session))
        {
            auto& refused = session.restricted ? allowed_evacuated : evacuated;
            refused.push_back(id);
        }
        else if (should_reject_lagging_read(now, session))
        {
            rejected_reads.push_back(id);
        }
        else if (primary_out_of_reach(now, session))
        {
            out_of_reach.push_back(id);
        }
        else
        {
            kept.push_back(statement);
        }
    }
    std::vector<session_id> left;
    std::transform(kept.begin(), kept.end(), std::back_inserter(left),
                   [](const auto& statement) { return statement.id; });
    auto& added = state.waiting; // queued during the loop above
    left.insert(left.end(), added.begin(), added.end());
    added = std::move(left);
    reject_unservable(now, group, assigned, kept);
    reject(now, rejected_reads, session_error::lagging, "replicas_lag",
           "replicas lag and the primary is full, not run");
    reject(now, evacuated, session_error::busy, "evacuated",
           "all servers are in evacuated data centres, not run");
    reject(now, allowed_evacuated, session_error::busy, "evacuated",
           "all allowed servers are in evacuated data centres, not run");
    reject_outside_regions(now, outside_regions);
    reject_out_of_reach(now, out_of_reach);
}

/// Empties a group's queue.
/// @return what was queued, in scheduling order
std::vector<queued_statement> proxy::take_waiting(moment now,
                                                  const std::string& group)
{
    auto& state = groups_[group];
    const auto ids = std::exchange(state.waiting, {});
    std::vector<queued_statement> taken;
    taken.reserve(ids.size());
    std::transform(ids.begin(), ids.end(), std::back_inserter(taken),
                   [this](session_id id) { return queued(id); });
    state.order.sort(now + likely_answer_time(now, group), taken);
    return taken;
}

/// Time within which the fastest server of a group answers most statements.
microseconds proxy::likely_answer_time(moment now,
                                       const std::string& group) const
{
    std::optional<double> fastest;
    for (const auto& [id, state] : servers_)
    {
        if (state.server.group == group && state.may_try(now))
        {
            const auto mean = state.response_us(now);
            fastest = std::min(fastest.value_or(mean), mean);
        }
    }
    return microseconds(
        static_cast<std::int64_t>(fastest.value_or(0) * answer_time_margin));
}

/// A waiting statement as the scheduling order sees it. Its view of the
/// workspace lasts as long as the session.
queued_statement proxy::queued(session_id id) const
{
    const auto& session = sessions_.at(id);
    const auto& request = session.request;
    const auto it = settings_->workspaces.find(session.workspace);
    const bool is_limited =
        it != settings_->workspaces.end() && it->second.rate > 0;
    return {request.due,       request.priority,
            request.arrived,   id,
            session.workspace, is_limited ? it->second.rate : unlimited_weight,
            request.expires};
}

void proxy::dispatch_group_of(moment now, const std::string& server)
{
    if (const auto* state = find_server(server))
    {
        const auto group = state->server.group;
        dispatch(now, group);
    }
}

bool proxy::place(moment now, session_id id, client_session& session)
{
    auto* server = session.request.needs_primary
                       ? usable_primary(now, session)
                       : choose_for_read(now, session);
    return server != nullptr && has_capacity(now, *server, session) &&
           place_at(now, id, session, *server);
}

bool proxy::place_at(moment now, session_id id, client_session& session,
                     server_state& server)
{
    for (auto idle = idle_connection(now, server.server.id, session); idle != 0;
         idle = idle_connection(now, server.server.id, session))
    {
        if (!has_surplus(idle, connections_.at(idle)))
        {
            run_on_connection(now, id, session, idle);
            return true;
        }
        give_up_connection(now, idle, answer_fault::unasked);
    }
    if (!server.takes_connections(now))
    {
        return false;
    }
    if (server.connections >= budget_at(server).connections)
    {
        const auto spare = longest_idle_connection(server.server.id);
        if (spare == 0)
        {
            return false;
        }
        close_connection(spare);
    }
    session.request.stage = request_stage::opening;
    open_connection(now, server, session.workspace, id);
    return true;
}

server_state* proxy::usable_primary(moment now, const client_session& session)
{
    const auto* lead = lead_of(session.group);
    if (lead == nullptr || lead->sealed() || !primary_lease_.is_valid(now))
    {
        return nullptr;
    }
    auto* server = find_server(lead->primary());
    if (server == nullptr || !server->may_try(now) ||
        server->server.is_closed(now) || !may_run(session, *server))
    {
        return nullptr;
    }
    const bool left = server->server.draining &&
                      now > server->draining_since + draining_primary_use;
    return left ? nullptr : server;
}

/// Whether a replica probably has the position that the read requires.
bool proxy::may_read_replica(moment now, const session_request& request,
                             const server_state& replica)
{
    return request.after && !replica.server.is_leaving() &&
           !replica.likely_lacks(now, *request.after);
}

server_state* proxy::choose_for_read(moment now, client_session& session)
{
    auto* primary = usable_primary(now, session);
    session.request.after = needed_position(now, session);
    std::vector<placement_candidate> candidates;
    std::vector<server_state*> found;
    for (auto& [id, state] : servers_)
    {
        const bool is_primary = &state == primary;
        const bool fit =
            state.server.group == session.group && state.may_try(now) &&
            has_capacity(now, state, session) &&
            session.request.avoid.count(id) == 0 && may_run(session, state) &&
            (is_primary || may_read_replica(now, session.request, state));
        if (!fit)
        {
            continue;
        }
        candidates.push_back(candidate_for(now, session, state));
        candidates.back().primary = is_primary;
        found.push_back(&state);
    }
    const auto chosen = choose_server(candidates, placement_cost_);
    return chosen ? found[*chosen] : nullptr;
}

/// @return position that a replica's log must include for this read; nullopt if
/// no known position is recent enough
std::optional<log_position>
proxy::needed_position(moment now, const client_session& session)
{
    const auto* route = settings_->route(session.database);
    if (route == nullptr)
    {
        return std::nullopt;
    }
    auto needed = groups_[session.group].history.position_covering(
        now - route->max_staleness + staleness_margin);
    if (!needed || session.consistency != read_consistency::read_your_writes)
    {
        return needed;
    }
    const auto own = session.committed.in(session.group);
    if (own.is_lost)
    {
        return std::nullopt;
    }
    return own.position
               ? std::max(*needed, reachable(session.group, *own.position))
               : needed;
}

/// The part of a log up to a commit that servers can have: what a promotion
/// rolled back will never reach a replica.
log_position proxy::reachable(const std::string& group,
                              const log_position& commit) const
{
    const auto* lead = lead_of(group);
    return lead != nullptr && commit.term < lead->term()
               ? std::min(commit, {lead->base_term(), lead->base_number()})
               : commit;
}

bool proxy::has_capacity(moment now, const server_state& server,
                         const client_session& session)
{
    if (server.running + server.opening >=
            std::max(min_running, server.server.slots) ||
        server.is_full(now) || !may_use(now, server))
    {
        return false;
    }
    if (idle_connection(now, server.server.id, session) != 0)
    {
        return true;
    }
    return server.takes_connections(now) &&
           (server.connections < budget_at(server).connections ||
            longest_idle_connection(server.server.id) != 0);
}

/// Queues a statement again that had no effect.
/// @param avoid server to exclude for this statement; empty: none
void proxy::requeue(session_id id, client_session& session,
                    const std::string& avoid)
{
    auto& request = session.request;
    request.stage = request_stage::waiting;
    request.connection = 0;
    ++request.attempts;
    ++figures_.retries;
    if (!avoid.empty())
    {
        request.avoid.insert(avoid);
    }
    if (request.first)
    {
        session.pinned = 0;
    }
    groups_[session.group].waiting.push_back(id);
}

} // namespace tanagerhoist

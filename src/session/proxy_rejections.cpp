#include "tanagerhoist/session/proxy.hpp"
#include "tanagerhoist/session/retry_spread.hpp"

#include <algorithm>
#include <iterator>

// Rejection of queued statements that will not be served in time.
namespace tanagerhoist
{
namespace
{

/// Bounds of the mean time after which a statement refused for want of room
/// returns, and the earliest return as a part of it: returns spread evenly from
/// there to one more than that part.
constexpr milliseconds shortest_room_retry{50};
constexpr milliseconds longest_room_retry{1000};
constexpr double least_retry_part = 0.5;

} // namespace

/// Rejects the statements that can be expected to expire in the queue.
void proxy::reject_unservable(moment now, const std::string& group,
                              const std::vector<queued_statement>& assigned,
                              const std::vector<queued_statement>& left)
{
    const auto answer_time = likely_answer_time(now, group);
    std::vector<unservable_statement> refused;
    for (const bool needs_primary : {true, false})
    {
        auto& state = groups_[group];
        auto& outlook = needs_primary ? state.primary_wait : state.read_wait;
        const auto kept = of_kind(left, needs_primary);
        const auto found = outlook.update(
            now, answer_time, of_kind(assigned, needs_primary), kept);
        if (!kept.empty() &&
            !has_server_for(now, sessions_.at(kept.front().id)))
        {
            outlook.pause(); // they don't wait for room
            continue;
        }
        refused.insert(refused.end(), found.begin(), found.end());
    }
    for (const auto& statement : refused)
    {
        refuse_for_room(now, statement);
    }
}

std::vector<queued_statement>
proxy::of_kind(const std::vector<queued_statement>& statements,
               bool needs_primary) const
{
    std::vector<queued_statement> found;
    std::copy_if(statements.begin(), statements.end(),
                 std::back_inserter(found),
                 [&](const auto& statement)
                 {
                     const auto& request = sessions_.at(statement.id).request;
                     return request.needs_primary == needs_primary;
                 });
    return found;
}

/// Whether a statement waits for nothing but room at a server.
bool proxy::has_server_for(moment now, const client_session& session)
{
    const auto* primary = usable_primary(now, session);
    if (primary != nullptr && !primary->is_failing())
    {
        return true;
    }
    return !session.request.needs_primary &&
           std::any_of(servers_.begin(), servers_.end(),
                       [&](const auto& entry)
                       {
                           const auto& state = entry.second;
                           return state.server.group == session.group &&
                                  !state.is_failing() &&
                                  may_run(session, state) &&
                                  may_read_replica(now, session.request, state);
                       });
}

void proxy::refuse_for_room(moment now, const unservable_statement& refused)
{
    const auto it = sessions_.find(refused.id);
    if (it == sessions_.end() ||
        it->second.request.stage != request_stage::waiting)
    {
        return;
    }
    const auto clears = std::clamp<microseconds>(
        refused.clears, shortest_room_retry, longest_room_retry);
    const auto spread = least_retry_part + retry_part(it->second.request.id);
    const auto retry = static_cast<milliseconds::rep>(
        static_cast<double>(to_ms(clears)) * spread);
    ++figures_.refusals["no_room"];
    refuse_waiting(now, refused.id, it->second, session_error::busy,
                   "no room in time, not run, retry in " +
                       std::to_string(retry) + " ms");
}

/// Whether a statement that could not be placed needs the primary, which is not
/// to be expected before the statement expires.
/// @return the time until the primary is to be expected; nullopt if the
/// statement can wait for it
std::optional<milliseconds>
proxy::primary_out_of_reach(moment now, const client_session& session) const
{
    const auto& request = session.request;
    if (lead_of(session.group) == nullptr ||
        (!request.needs_primary && request.after))
    {
        return std::nullopt;
    }
    const auto outage = outage_of(now, session.group);
    const auto earliest = earliest_primary(now, outage);
    if (earliest == now || earliest < request.expires)
    {
        return std::nullopt;
    }
    return milliseconds(to_ms(earliest - now));
}

/// What this VM knows about a group whose primary it can't use.
primary_outage proxy::outage_of(moment now, const std::string& group) const
{
    primary_outage outage;
    const auto* lead = lead_of(group);
    outage.lead_known = lead != nullptr;
    outage.lease_valid = primary_lease_.is_valid(now);
    outage.coordinator_heard = coordinator_heard_;
    if (lead == nullptr)
    {
        return outage;
    }
    outage.sealed = lead->sealed();
    const auto state = groups_.find(group);
    if (state != groups_.end())
    {
        outage.promotion_waits_until = state->second.promotion_waits_until;
    }
    const auto* primary = server(lead->primary());
    if (primary != nullptr && primary->is_failing())
    {
        outage.failing_since = primary->failing_since();
    }
    else if (primary != nullptr && primary->server.is_closed(now))
    {
        outage.failing_since = primary->server.closes_at;
        outage.evacuated = true;
    }
    return outage;
}

/// Refuses a statement that has expired before it was sent to a server.
void proxy::refuse_expired(moment now, session_id id, client_session& session)
{
    const auto& request = session.request;
    const bool waits_for_primary = request.stage == request_stage::waiting &&
                                   (request.needs_primary || !request.after);
    const auto cause = waits_for_primary
                           ? cause_of(now, outage_of(now, session.group))
                           : outage_cause::none;
    if (cause == outage_cause::none)
    {
        ++figures_.refusals["no_server_in_time"];
        refuse_waiting(now, id, session, session_error::busy,
                       "no server in time, not run");
        return;
    }
    ++figures_.refusals[std::string(counter_of(cause))];
    refuse_waiting(now, id, session, session_error::busy,
                   "no primary in time, " + std::string(text_of(cause)) +
                       ", not run");
}

void proxy::reject_out_of_reach(moment now, const std::vector<session_id>& ids)
{
    for (const auto id : ids)
    {
        const auto it = sessions_.find(id);
        if (it == sessions_.end() ||
            it->second.request.stage != request_stage::waiting)
        {
            continue;
        }
        const auto wait = primary_out_of_reach(now, it->second);
        if (!wait)
        {
            groups_[it->second.group].waiting.push_back(id);
            continue;
        }
        const auto cause = cause_of(now, outage_of(now, it->second.group));
        ++figures_.refusals[std::string(counter_of(cause))];
        refuse_waiting(now, id, it->second, session_error::busy,
                       "no primary in time, " + std::string(text_of(cause)) +
                           ", not run, retry in " +
                           std::to_string(wait->count()) + " ms");
    }
}

/// Whether a read that could not be placed is rejected because its replicas lag
/// and the primary is at capacity. Queued reads would delay each other and the
/// writes.
bool proxy::should_reject_lagging_read(moment now,
                                       const client_session& session)
{
    if (session.request.needs_primary || !session.request.after ||
        usable_primary(now, session) == nullptr)
    {
        return false;
    }
    return std::any_of(
        servers_.begin(), servers_.end(),
        [&](const auto& entry)
        {
            const auto& state = entry.second;
            return state.server.group == session.group && state.may_try(now) &&
                   may_run(session, state) &&
                   state.likely_lacks(now, *session.request.after);
        });
}

/// Whether no server may run a session's statements, until the operator takes
/// an evacuation back.
bool proxy::has_only_evacuated_servers(moment now,
                                       const client_session& session)
{
    bool any = false;
    for (const auto& [id, state] : servers_)
    {
        if (state.server.group != session.group || !may_run(session, state))
        {
            continue;
        }
        if (!state.server.is_evacuated())
        {
            return false;
        }
        any = true;
    }
    return any && usable_primary(now, session) == nullptr;
}

/// Rejects those of the statements that still wait for a server.
/// @param cause counted in the figures
void proxy::reject(moment now, const std::vector<session_id>& ids,
                   session_error error, const std::string& cause,
                   const std::string& text)
{
    for (const auto id : ids)
    {
        const auto it = sessions_.find(id);
        if (it != sessions_.end() &&
            it->second.request.stage == request_stage::waiting)
        {
            ++figures_.refusals[cause];
            refuse_waiting(now, id, it->second, error, text);
        }
    }
}

} // namespace tanagerhoist

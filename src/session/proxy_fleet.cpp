#include "tanagerhoist/session/proxy.hpp"

#include <algorithm>
#include <utility>

// Settings, servers and leads that a proxy learns, and its reports.
namespace tanagerhoist
{
namespace
{

/// How long a primary must be failing before it is reported as unreachable, and
/// how recently it must have answered to be reported as reachable.
constexpr milliseconds failing_before_report{250};
constexpr milliseconds recent_contact{700};

} // namespace

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
    note_regions();
    run_pass(now,
             [this, now]
             {
                 end_disallowed_sessions(now);
                 leave_disallowed_servers(now);
             });
}

/// Ends the sessions that the settings no longer allow; those with a running
/// statement after its answer.
void proxy::end_disallowed_sessions(moment now)
{
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
        const auto found = sessions_.find(id);
        if (found == sessions_.end())
        {
            continue;
        }
        const auto stage = found->second.request.stage;
        if (stage != request_stage::none && stage != request_stage::running)
        {
            refuse_waiting(now, id, found->second, session_error::no_key,
                           "taken away, not run");
        }
        end_session_if_done(now, id);
    }
}

void proxy::use_servers(moment now, const server_list& servers)
{
    run_pass(now,
             [this, now, &servers]
             {
                 remove_gone_servers(now, servers);
                 add_servers(now, servers);
                 close_idle_at_leaving();
                 for (const auto& [name, group] : groups_)
                 {
                     dispatch(now, name);
                 }
             });
}

void proxy::remove_gone_servers(moment now, const server_list& servers)
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
}

void proxy::add_servers(moment now, const server_list& servers)
{
    for (const auto& [id, server] : servers)
    {
        const auto [it, added] = servers_.try_emplace(id, now, server);
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
        state.update(now, server);
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
    warming_.erase(id);
    answer_news_.forget(id);
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
            run_pass(now, [&] { abort_running_at(now, before, true); });
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
    warmup_permits_.describe(now, report);
    answer_news_.describe(report);
    for (auto& demand : limits_.demand(now))
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

} // namespace tanagerhoist

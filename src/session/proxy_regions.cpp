#include "tanagerhoist/session/proxy.hpp"

#include <algorithm>
#include <iterator>

// Regions to which routes and workspaces are restricted.
namespace tanagerhoist
{
namespace
{

/// Pause between two questions to a primary for its position.
constexpr milliseconds position_interval{250};

} // namespace

/// The restriction in force for what a session sends next. If the route or
/// workspace of a restricted session is gone, nothing is allowed.
region_restriction proxy::restriction_of(const client_session& session) const
{
    static const region_set nowhere{""}; // regions have names
    const auto* route = settings_->route(session.database);
    const auto workspace = settings_->workspaces.find(session.workspace);
    const bool named = workspace != settings_->workspaces.end();
    const bool lost =
        route == nullptr || (!named && !session.workspace.empty());
    return {regions_,
            lost && session.restricted ? &nowhere
            : route == nullptr         ? nullptr
                                       : &route->regions,
            named ? &workspace->second.regions : nullptr};
}

/// Whether a server may run what the session sends next, by its region.
bool proxy::may_run(const client_session& session,
                    const server_state& server) const
{
    return (!restricts_regions_ && !session.restricted) ||
           restriction_of(session).allows(server.server.data_centre);
}

/// Whether and why no server may run a session's waiting statement.
region_refusal proxy::refused_by_region(const client_session& session) const
{
    if (!restricts_regions_ && !session.restricted)
    {
        return region_refusal::none;
    }
    const auto allowed = restriction_of(session);
    if (!allowed.is_restricted())
    {
        return region_refusal::none;
    }
    group_regions group;
    for (const auto& [id, state] : servers_)
    {
        const bool member = state.server.group == session.group;
        group.has_servers = group.has_servers || member;
        group.has_allowed_servers =
            group.has_allowed_servers ||
            (member && allowed.allows(state.server.data_centre));
    }
    const auto* lead = lead_of(session.group);
    const auto* primary =
        lead == nullptr || lead->sealed() ? nullptr : server(lead->primary());
    if (primary != nullptr)
    {
        group.primary_allowed = allowed.allows(primary->server.data_centre);
    }
    return refusal_in(group, session.request.needs_primary);
}

void proxy::reject_outside_regions(moment now,
                                   const std::vector<session_id>& ids)
{
    for (const auto id : ids)
    {
        const auto it = sessions_.find(id);
        if (it == sessions_.end() ||
            it->second.request.stage != request_stage::waiting)
        {
            continue;
        }
        auto& session = it->second;
        const auto refusal = refused_by_region(session);
        if (refusal == region_refusal::none)
        {
            groups_[session.group].waiting.push_back(id);
            continue;
        }
        const bool none = refusal == region_refusal::no_server;
        ++figures_.refusals[none ? "no_server_in_regions"
                                 : "primary_outside_regions"];
        refuse_waiting(now, id, session, session_error::busy,
                       none ? "no server in an allowed region, not run"
                            : "the primary is in no allowed region, not run",
                       describe_regions(session));
    }
}

/// What a refusal for the region was decided on, for its log line.
std::string proxy::describe_regions(const client_session& session) const
{
    const auto region_at = [this](const server_state& state)
    {
        const auto* region = regions_.region_of(state.server.data_centre);
        return region == nullptr
                   ? "unknown region of " + state.server.data_centre
                   : *region;
    };
    region_set found;
    for (const auto& [id, state] : servers_)
    {
        if (state.server.group == session.group)
        {
            found.insert(region_at(state));
        }
    }
    std::string text = "allowed " + restriction_of(session).text();
    text += ", servers in ";
    for (const auto& region : found)
    {
        text += region == *found.begin() ? region : "," + region;
    }
    const auto* lead = lead_of(session.group);
    const auto* primary = lead == nullptr ? nullptr : server(lead->primary());
    return primary == nullptr ? text
                              : text + ", primary in " + region_at(*primary);
}

/// Notes whether settings just taken over restrict anything, and logs the
/// regions that they allow and that no data centre lies in.
void proxy::note_regions()
{
    region_set named;
    for (const auto& [database, route] : settings_->routes)
    {
        named.insert(route.regions.begin(), route.regions.end());
    }
    for (const auto& [name, workspace] : settings_->workspaces)
    {
        named.insert(workspace.regions.begin(), workspace.regions.end());
    }
    restricts_regions_ = !named.empty();
    region_set unknown;
    std::copy_if(
        named.begin(), named.end(), std::inserter(unknown, unknown.end()),
        [this](const auto& region) { return !regions_.has_region(region); });
    for (const auto& region : unknown)
    {
        if (unknown_regions_.count(region) == 0)
        {
            log_.write(log_level::change, "region_unknown",
                       {{"region", region},
                        {"settings", std::to_string(settings_->version)}});
        }
    }
    unknown_regions_ = std::move(unknown);
}

/// Takes back what new settings don't allow at its server and what has not been
/// sent: first and single statements that are placed anew. A transaction that
/// has run a statement ends where it is. Also closes idle connections of
/// workspaces that may not use the server.
void proxy::leave_disallowed_servers(moment now)
{
    if (!restricts_regions_)
    {
        return;
    }
    std::vector<connection_id> leaving;
    for (const auto& [id, connection] : connections_)
    {
        const auto* server = find_server(connection.server);
        const auto owner = sessions_.find(connection.owner);
        if (server != nullptr && owner != sessions_.end() &&
            owner->second.request.stage == request_stage::running &&
            owner->second.request.first && !connection.runs_request() &&
            !may_run(owner->second, *server))
        {
            leaving.push_back(id);
        }
    }
    for (const auto id : leaving)
    {
        if (connections_.count(id) != 0)
        {
            abort_running(now, id);
        }
    }
    close_idle_if(
        [this](const server_connection& connection, const server_state& server)
        {
            const auto it = settings_->workspaces.find(connection.workspace);
            return it != settings_->workspaces.end() &&
                   !region_restriction(regions_, nullptr, &it->second.regions)
                        .allows(server.server.data_centre);
        });
}

/// Workspace to name at a server that is probed: one that may use it.
/// @return empty: none
std::string proxy::probing_workspace(const server_state& server) const
{
    const auto& workspaces = settings_->workspaces;
    const auto found = std::find_if(
        workspaces.begin(), workspaces.end(),
        [this, &server](const auto& entry)
        {
            return region_restriction(regions_, nullptr, &entry.second.regions)
                .allows(server.server.data_centre);
        });
    return found == workspaces.end() ? std::string() : found->first;
}

/// Asks primaries for their position that restricted reads wait for and may not
/// use themselves: if nothing else runs there, nobody knows how old a replica
/// is. The answer to a new connection tells: it can't be a repeated one.
void proxy::ask_positions(moment now)
{
    if (!restricts_regions_)
    {
        return;
    }
    for (auto& [name, group] : groups_)
    {
        const auto* lead = lead_of(name);
        auto* primary =
            lead == nullptr || lead->sealed() || !primary_lease_.is_valid(now)
                ? nullptr
                : find_server(lead->primary());
        if (primary == nullptr || primary->opening != 0 ||
            !primary->may_try(now) || primary->server.is_closed(now) ||
            !may_use(now, *primary) ||
            now < group.position_asked + position_interval)
        {
            continue;
        }
        const bool asks =
            std::any_of(group.waiting.begin(), group.waiting.end(),
                        [&](session_id id)
                        {
                            const auto& session = sessions_.at(id);
                            return !session.request.needs_primary &&
                                   !session.request.after &&
                                   !may_run(session, *primary);
                        });
        if (!asks)
        {
            continue;
        }
        group.position_asked = now;
        if (!primary->takes_connections(now))
        {
            continue;
        }
        if (primary->connections >= budget_at(*primary).connections)
        {
            close_connection(longest_idle_connection(now, primary->server.id));
        }
        if (primary->connections < budget_at(*primary).connections)
        {
            probe(now, primary->server.id);
        }
    }
}

} // namespace tanagerhoist

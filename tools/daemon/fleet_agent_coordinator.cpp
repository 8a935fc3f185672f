#include "fleet_agent.hpp"
#include "fleet_tables.hpp"

#include "platform/failover_call.hpp"
#include "tanagerhoist/fleet/fleet_schedule.hpp"
#include "tanagerhoist/session/primary_lease.hpp"

#include <algorithm>
#include <random>
#include <utility>

// The coordinator lease and the work of its holder.
namespace tanagerhoist
{
namespace
{

constexpr milliseconds watch_interval{100};
constexpr milliseconds check_interval{300};
constexpr milliseconds control_timeout{350};

/// Takeover delay of a VM that has restarted and is not registered yet: it
/// takes the lease only if its former process held it.
constexpr milliseconds only_own_lease = std::chrono::hours(24);

/// Time after which a new coordinator has heard all VMs that run.
constexpr milliseconds report_wait{600};

} // namespace

void fleet_agent::maintain_coordinator_lease()
{
    std::minstd_rand random(static_cast<unsigned>(life_));
    while (!leaving_)
    {
        bool done = true;
        if (registered_)
        {
            done = update_lease(takeover_delay(members_, cpu_percent_,
                                               lease_.is_holder_known()));
        }
        else if (has_restarted_ && !lease_.is_holder_known())
        {
            done = update_lease(only_own_lease);
        }
        if (is_takeover_read_due(now_(), messages_.last_contact(), registered_,
                                 lease_.is_holder_known()))
        {
            read_members(); // to know which VM is the largest
        }
        const bool holds = lease_.holds(now_());
        if (holds && !was_coordinator_)
        {
            coordinator_.reset(now_(), lease_.former(), members_.rows.size());
            read_leads(lease_store_.rows);
            use_lost_leases();
            confirm_from_ = now_() + report_wait;
            read_members();
            request_refresh(config_watch_);
            request_refresh(server_watch_);
            send_views();
        }
        was_coordinator_ = holds;
        const milliseconds spread(random() % check_interval.count());
        pause(lease_update_interval(registered_, done, holds, spread));
    }
}

bool fleet_agent::update_lease(milliseconds delay)
{
    lease_renewal_begun_ = now_();
    return lease_.update(messages_.last_contact(), delay);
}

/// Takes over from the lease row how long primary leases may be valid that the
/// store, which has come back older, does not show.
void fleet_agent::use_lost_leases()
{
    const auto since = lease_.row().era_since_ms();
    if (since == 0)
    {
        return;
    }
    const auto end =
        milliseconds(since) + primary_lease_duration + primary_lease_margin;
    members_.incomplete_until = std::max(members_.incomplete_until,
                                         now_() + (end - lease_.store_clock()));
}

bool fleet_agent::is_coordinator()
{
    return lease_.holds(now_()) && !leaving_;
}

void fleet_agent::monitor_groups()
{
    while (!leaving_)
    {
        pause(is_coordinator() ? watch_interval : check_interval);
        const auto* settings = proxy_.settings();
        if (!is_coordinator() || settings == nullptr)
        {
            continue;
        }
        remove_expired_vms();
        if (is_removal_read_due(now_(), members_requested_at_))
        {
            read_members();
        }
        confirm_leads();
        for (const auto& [group, ignored] : settings->groups)
        {
            check_group(group);
        }
    }
}

void fleet_agent::check_group(const std::string& group)
{
    if (!leads_.is_confirmed(group, era_))
    {
        return;
    }
    const auto* row = leads_.find(group);
    const auto* lead = row == nullptr ? nullptr : &row->lead;
    const bool unreachable =
        lead != nullptr &&
        coordinator_.is_primary_unreachable(now_(), lead->primary());
    switch (groups_.next_action(now_(), group, lead, servers_, unreachable))
    {
    case group_action::create_lead:
        create_group_lead(group);
        break;
    case group_action::replace_primary:
        start_failover(group, false);
        break;
    case group_action::replace_planned:
        start_failover(group, true);
        break;
    case group_action::none:
        break;
    }
}

void fleet_agent::start_failover(const std::string& group, bool planned)
{
    groups_.operation_begun(group);
    run_fiber(
        [this, group, planned]
        {
            failover_executor executor(*this, lines_);
            const auto begun = now_();
            const auto token = lease_.row().token();
            const auto done =
                executor.change_primary(*leads_.find(group), planned);
            lines_.write(log_level::change, "lead_change_ended",
                         {{"group", group},
                          {"ms", std::to_string(to_ms(now_() - begun))},
                          {"primary", done ? done->lead.primary() : "-"},
                          {"token", std::to_string(token)},
                          {"token_now", std::to_string(lease_.row().token())},
                          {"holds", is_coordinator() ? "yes" : "no"}});
            end_operation(group);
        });
}

void fleet_agent::end_operation(const std::string& group)
{
    for (const auto& server : servers(group))
    {
        controls_.erase(server.id);
    }
    groups_.operation_ended(group);
}

bool fleet_agent::is_primary_unused(const proto::GroupLead& lead,
                                    std::uint64_t seal_version, moment sealed)
{
    const bool unused = coordinator_.is_primary_unused(
        now_(), lead, seal_version, sealed, members_);
    if (!unused && is_seal_read_due(now_(), members_requested_at_,
                                    members_.read_at, sealed))
    {
        read_members();
    }
    return unused;
}

std::vector<backend_server> fleet_agent::servers(const std::string& group)
{
    std::vector<backend_server> found;
    for (const auto& [id, server] : servers_)
    {
        if (server.group == group)
        {
            found.push_back(server);
        }
    }
    return found;
}

unsigned fleet_agent::synchronous_replicas(const std::string& group)
{
    const auto* settings = proxy_.settings();
    const auto it = settings->groups.find(group);
    return it == settings->groups.end() ? 0 : it->second.synchronous_replicas;
}

std::optional<server_role>
fleet_agent::query_server(const backend_server& server, const std::string& line)
{
    auto& control = controls_[server.id];
    if (!control)
    {
        const auto* settings = proxy_.settings();
        const auto workspace = settings->workspaces.empty()
                                   ? std::string()
                                   : settings->workspaces.begin()->first;
        control = std::make_unique<platform::server_control>(context_, server,
                                                             workspace);
    }
    const auto status = control->exchange(line, control_timeout);
    if (!status)
    {
        return std::nullopt;
    }
    return server_role{status->primary, status->term, status->received};
}

std::optional<server_role> fleet_agent::role(const backend_server& server)
{
    return query_server(server, platform::status_line());
}

std::optional<server_role> fleet_agent::demote(const backend_server& server,
                                               std::uint64_t term)
{
    return query_server(server, platform::demote_line(term));
}

void fleet_agent::confirm_log_end(const proto::GroupLead& lead,
                                  const log_position& end, moment confirmed)
{
    coordinator_.confirm_log_end(lead, end, confirmed);
}

promotion_result fleet_agent::request_promotion(const std::string& group,
                                                const std::string& server)
{
    http_client_stream stream(context_);
    const auto& row = lease_.row();
    lines_.write(log_level::change, "promotion_sent",
                 {{"group", group},
                  {"server", server},
                  {"token", std::to_string(row.token())},
                  {"token_of", row.holder()},
                  {"lease_ms", std::to_string(lease_.time_left().count())}});
    return platform::request_promotion(
        stream, promotion_address_.address, promotion_address_.port,
        {group, server, settings_.vm().name(), row.token()});
}

} // namespace tanagerhoist

#include "fleet_agent.hpp"
#include "group_operation.hpp"

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
constexpr milliseconds release_check_interval{5};

/// Shorter than the time that a stop has left at its deadline.
constexpr milliseconds longest_release_wait{400};

/// Between two updates of the lease, however long the first one took.
constexpr milliseconds shortest_pause{20};

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
        const auto begun = now_();
        lease_in_use_ = true;
        const bool done = update_lease_if_due();
        lease_in_use_ = false;
        if (is_takeover_read_due(now_(), messages_.last_contact(), registered_,
                                 lease_.is_holder_known()))
        {
            read_members(); // to know which VM is the largest
        }
        const auto current = term();
        if (current && begun_token_ != current->token)
        {
            begin_term(*current);
        }
        else if (current)
        {
            note_term_end(*current);
        }
        const milliseconds spread(random() % check_interval.count());
        const auto interval = lease_update_interval(
            registered_, done, current.has_value(), spread);
        const auto took = std::chrono::ceil<milliseconds>(now_() - begun);
        pause(std::max(interval - took, shortest_pause));
    }
}

/// @return false if the update should be repeated soon
bool fleet_agent::update_lease_if_due()
{
    if (registered_)
    {
        return update_lease(
            takeover_delay(members_, cpu_percent_, lease_.is_holder_known()));
    }
    if (has_restarted_ && !lease_.is_holder_known())
    {
        return update_lease(only_own_lease);
    }
    return true;
}

/// Takes up a new term: nothing of an earlier one counts, also if it was this
/// VM's own.
void fleet_agent::begin_term(const coordinator_term& term)
{
    begun_token_ = term.token;
    told_leads_.reset();
    coordinator_.reset(now_(), term.token, lease_.former(),
                       members_.rows.size());
    note_term_end(term);
    use_lost_leases();
    confirm_from_ = now_() + report_wait;
    read_members();
    request_refresh(config_watch_);
    request_refresh(server_watch_);
    send_views();
    run_fiber([this, term] { read_leads_in(term); });
}

/// Reads the leads in a term: from its begin on nobody else writes them.
void fleet_agent::read_leads_in(const coordinator_term& term)
{
    auto store = make_store();
    auto retry = store_backoff();
    while (is_current(term) && leads_token_ != term.token)
    {
        if (read_leads(store.rows))
        {
            leads_token_ = term.token;
            send_views();
            return;
        }
        pause(retry.next());
    }
}

/// The term in which this VM is the coordinator; nothing if it is not, or is
/// stopping.
std::optional<coordinator_term> fleet_agent::term() const
{
    return leaving_ ? std::nullopt : lease_.term();
}

bool fleet_agent::is_current(const coordinator_term& term) const
{
    return !leaving_ && lease_.is_current(term);
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
    const auto since = lease_.era_since();
    if (since == milliseconds(0))
    {
        return;
    }
    const auto end = since + primary_lease_duration + primary_lease_margin;
    members_.incomplete_until = std::max(members_.incomplete_until,
                                         now_() + (end - lease_.store_time()));
}

/// Releases the lease, unless a promotion request is on its way: the next
/// holder would send its own at once.
void fleet_agent::release_lease()
{
    const auto busy = [this]
    { return lease_in_use_ || promotion_requests_ > 0; };
    const auto until = now_() + longest_release_wait;
    while (busy() && now_() < until)
    {
        pause(release_check_interval);
    }
    const auto held = lease_.term();
    if (busy() || !held)
    {
        return; // it expires by itself
    }
    const bool begun = held->token == begun_token_;
    balances_passed_on_ = true;
    lease_.release(begun ? coordinator_.grantor().balances(now_())
                         : std::vector<proto::WorkspaceBalance>());
}

void fleet_agent::monitor_groups()
{
    while (!leaving_)
    {
        pause(is_coordinator() ? watch_interval : check_interval);
        check_groups();
    }
}

/// Does what is due for the groups and VMs, in a term whose leads are known.
void fleet_agent::check_groups()
{
    const auto current = term();
    if (!current || leads_token_ != current->token ||
        proxy_.settings() == nullptr)
    {
        return;
    }
    remove_expired_vms(*current);
    if (is_removal_read_due(now_(), members_requested_at_))
    {
        read_members();
    }
    confirm_leads(*current);
    // Not earlier: the settings may be replaced while the removal waits.
    for (const auto& [group, ignored] : proxy_.settings()->groups)
    {
        check_group(*current, group);
    }
}

void fleet_agent::check_group(const coordinator_term& term,
                              const std::string& group)
{
    if (!is_current(term) || !leads_.is_confirmed(group, era_))
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
        create_group_lead(term, group);
        break;
    case group_action::replace_primary:
        start_failover(term, group, false);
        break;
    case group_action::verify_primary:
        start_verification(term, group);
        break;
    case group_action::replace_planned:
        start_failover(term, group, true);
        break;
    case group_action::none:
        break;
    }
}

/// Runs a change of a group's lead as a fiber, as the group's only one.
void fleet_agent::run_operation(const coordinator_term& term,
                                const std::string& group, operation_body body)
{
    groups_.operation_begun(group);
    run_fiber(
        [this, term, group, body = std::move(body)]
        {
            group_operation operation(*this, term);
            failover_executor executor(operation, lines_);
            body(executor);
            groups_.operation_ended(group);
        });
}

void fleet_agent::start_failover(const coordinator_term& term,
                                 const std::string& group, bool planned)
{
    run_operation(term, group,
                  [this, term, group, planned](failover_executor& executor)
                  { change_primary(executor, term, group, planned); });
}

/// Replaces a primary that the server list calls a replica, if it says the
/// same.
void fleet_agent::start_verification(const coordinator_term& term,
                                     const std::string& group)
{
    run_operation(term, group,
                  [this, term, group](failover_executor& executor)
                  {
                      const auto row = *leads_.find(group);
                      if (executor.is_primary_demoted(row.lead))
                      {
                          change_primary(executor, term, group, false);
                      }
                  });
}

void fleet_agent::change_primary(failover_executor& executor,
                                 const coordinator_term& term,
                                 const std::string& group, bool planned)
{
    const auto begun = now_();
    const auto done = executor.change_primary(*leads_.find(group), planned);
    lines_.write(log_level::change, "lead_change_ended",
                 {{"group", group},
                  {"took_ms", std::to_string(to_ms(now_() - begun))},
                  {"primary", done ? done->lead.primary() : "-"},
                  {"token", std::to_string(term.token)},
                  {"term_over", is_current(term) ? "no" : "yes"}});
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

std::vector<backend_server> fleet_agent::servers(const std::string& group) const
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

} // namespace tanagerhoist

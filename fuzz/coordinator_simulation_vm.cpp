#include "coordinator_simulation_vm.hpp"

#include "platform/store_client.hpp"
#include "tanagerhoist/fleet/coordinator_writes.hpp"
#include "tanagerhoist/fleet/fleet_schedule.hpp"
#include "tanagerhoist/fleet/repeated_write.hpp"
#include "tanagerhoist/fleet/table_read.hpp"

#include <algorithm>
#include <utility>

// Leases, leads and rows of one VM, as in the daemon's fleet agent.
namespace tanagerhoist::fuzz
{
namespace
{

constexpr milliseconds only_own_lease = std::chrono::hours(24);
constexpr milliseconds check_interval{300};
constexpr milliseconds release_check_interval{5};
constexpr milliseconds longest_release_wait{400};
constexpr milliseconds shortest_pause{20};

proto::MemberRow row_of(const std::string& vm, std::uint64_t life,
                        std::size_t index)
{
    proto::MemberRow row;
    row.set_vm(vm);
    row.set_life(life);
    row.set_cpu_percent(100 - index);
    return row;
}

} // namespace

std::string simulated_vm::name(std::size_t index)
{
    return "vm-" + std::to_string(index);
}

simulated_vm::simulated_vm(coordinator_simulation& world, std::size_t index)
    : world_(world),
      index_(index),
      name_(name(index)),
      life_(world.next_life()),
      process_(std::make_shared<fiber_process>(world.events())),
      lines_(world, name_),
      lease_store_(world, *process_, index, platform::short_write_timeout),
      member_store_(world, *process_, index, platform::patient_write_timeout),
      lead_store_(world, *process_, index, platform::patient_write_timeout),
      registration_(member_store_.rows, row_of(name_, life_, index),
                    [this] { return this->now(); }),
      lease_(
          lease_store_.rows, row_of(name_, life_, index),
          [this] { return this->now(); }, lines_),
      coordinator_({}, true)
{
    process_->spawn([this] { maintain_primary_lease(); });
    process_->spawn([this] { maintain_coordinator_lease(); });
    process_->spawn([this] { monitor_group(); });
    process_->spawn([this] { report_regularly(); });
    process_->spawn([this] { write_regularly(); });
}

std::optional<coordinator_term> simulated_vm::term() const
{
    return leaving_ ? std::nullopt : lease_.term();
}

bool simulated_vm::is_current(const coordinator_term& term) const
{
    return !leaving_ && lease_.is_current(term);
}

void simulated_vm::stop(std::function<void()> ended)
{
    process_->spawn(
        [this, ended = std::move(ended)]
        {
            leaving_ = true;
            primary_lease_.end();
            store_connection store(world_, *process_, index_,
                                   platform::short_write_timeout);
            registration_.remove(store.rows);
            release_lease();
            world_.events().add(microseconds(0), ended);
        });
}

void simulated_vm::release_lease()
{
    const auto busy = [this]
    { return lease_in_use_ || promotion_requests_ > 0; };
    const auto until = now() + longest_release_wait;
    while (busy() && now() < until)
    {
        process_->pause(release_check_interval);
    }
    if (!busy())
    {
        lease_.release({});
    }
}

void simulated_vm::maintain_coordinator_lease()
{
    while (!leaving_)
    {
        const auto begun = now();
        lease_in_use_ = true;
        const bool done = update_lease_if_due();
        lease_in_use_ = false;
        if (is_takeover_read_due(now(), messages_.last_contact(), registered_,
                                 lease_.is_holder_known()))
        {
            read_members();
        }
        const auto current = term();
        if (current && begun_token_ != current->token)
        {
            begin_term(*current);
        }
        const auto spread =
            std::chrono::duration_cast<milliseconds>(world_.short_delay() * 10);
        const auto interval = lease_update_interval(
            registered_, done, current.has_value(), spread);
        const auto took = std::chrono::ceil<milliseconds>(now() - begun);
        process_->pause(std::max(interval - took, shortest_pause));
    }
}

bool simulated_vm::update_lease_if_due()
{
    if (registered_)
    {
        return lease_.update(
            messages_.last_contact(),
            takeover_delay(members_, 100 - index_, lease_.is_holder_known()));
    }
    if (has_restarted_ && !lease_.is_holder_known())
    {
        return lease_.update(messages_.last_contact(), only_own_lease);
    }
    return true;
}

void simulated_vm::begin_term(const coordinator_term& term)
{
    constexpr milliseconds report_wait{600};
    begun_token_ = term.token;
    told_leads_.reset();
    coordinator_.reset(now(), term.token, lease_.former(),
                       members_.rows.size());
    use_lost_leases();
    confirm_from_ = now() + report_wait;
    read_members();
    send_views(term);
    process_->spawn([this, term] { read_leads_in(term); });
}

void simulated_vm::read_leads_in(const coordinator_term& term)
{
    store_connection store(world_, *process_, index_,
                           platform::short_write_timeout);
    backoff retry(milliseconds(100), milliseconds(800));
    while (is_current(term) && leads_token_ != term.token)
    {
        if (read_leads(store.rows))
        {
            leads_token_ = term.token;
            return;
        }
        process_->pause(retry.next());
    }
}

void simulated_vm::use_lost_leases()
{
    const auto since = lease_.era_since();
    if (since == milliseconds(0))
    {
        return;
    }
    const auto end = since + primary_lease_duration + primary_lease_margin;
    members_.incomplete_until = std::max(members_.incomplete_until,
                                         now() + (end - lease_.store_time()));
}

void simulated_vm::monitor_group()
{
    constexpr milliseconds watch_interval{100};
    while (!leaving_)
    {
        process_->pause(is_coordinator() ? watch_interval : check_interval);
        const auto current = term();
        if (!current || leads_token_ != current->token)
        {
            continue;
        }
        remove_expired_vms(*current);
        if (is_removal_read_due(now(), members_requested_at_))
        {
            read_members();
        }
        const bool unconfirmed = !leads_.is_confirmed(group_name, era_);
        if (now() >= confirm_from_ && unconfirmed &&
            !groups_.is_running(group_name))
        {
            run_operation(
                *current,
                [this](failover_executor& executor)
                {
                    if (!executor.confirm_lead(*leads_.find(group_name)))
                    {
                        process_->pause(milliseconds(100));
                    }
                });
        }
        check_group(*current);
    }
}

void simulated_vm::check_group(const coordinator_term& term)
{
    if (!is_current(term) || !leads_.is_confirmed(group_name, era_))
    {
        return;
    }
    const auto* row = leads_.find(group_name);
    const auto* lead = row == nullptr ? nullptr : &row->lead;
    const bool unreachable =
        lead != nullptr &&
        coordinator_.is_primary_unreachable(now(), lead->primary());
    const auto action = groups_.next_action(
        now(), group_name, lead, world_.group().listed(), unreachable);
    if (action == group_action::create_lead)
    {
        run_operation(term,
                      [this](failover_executor& executor)
                      {
                          if (!executor.create_lead(group_name))
                          {
                              process_->pause(milliseconds(100));
                          }
                      });
    }
    else if (action == group_action::verify_primary)
    {
        run_operation(term,
                      [this](failover_executor& executor)
                      {
                          const auto verified = *leads_.find(group_name);
                          if (executor.is_primary_demoted(verified.lead))
                          {
                              executor.change_primary(*leads_.find(group_name),
                                                      false);
                          }
                      });
    }
    else if (action != group_action::none)
    {
        const bool planned = action == group_action::replace_planned;
        run_operation(
            term, [this, planned](failover_executor& executor)
            { executor.change_primary(*leads_.find(group_name), planned); });
    }
}

void simulated_vm::remove_expired_vms(const coordinator_term& term)
{
    for (const auto& vm : coordinator_.expired_vms(now(), members_))
    {
        const auto version = members_.rows.at(vm).version;
        lead_store_.rows.write(vm_removal(term, vm, version));
        members_.forget(vm, version);
        return;
    }
}

bool simulated_vm::is_primary_unused(const proto::GroupLead& lead,
                                     std::uint64_t seal_version, moment sealed)
{
    const bool unused = coordinator_.is_primary_unused(
        now(), lead, seal_version, sealed, members_);
    if (!unused && is_seal_read_due(now(), members_requested_at_,
                                    members_.read_at, sealed))
    {
        read_members();
    }
    return unused;
}

} // namespace tanagerhoist::fuzz

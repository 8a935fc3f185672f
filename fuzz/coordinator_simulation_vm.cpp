#include "coordinator_simulation_vm.hpp"

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

constexpr const char* member_table = "members";
constexpr milliseconds short_write_timeout{800};
constexpr milliseconds patient_write_timeout{1300};
constexpr milliseconds report_interval{400};
constexpr milliseconds sealed_report_interval{80};
constexpr milliseconds write_interval{120};
constexpr milliseconds statement_timeout{1000};
constexpr milliseconds seal_grace{150};
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
      lease_store_(world, *process_, index, short_write_timeout),
      member_store_(world, *process_, index, patient_write_timeout),
      lead_store_(world, *process_, index, patient_write_timeout),
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
                                   short_write_timeout);
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
    coordinator_.reset(now(), lease_.former(), members_.rows.size());
    use_lost_leases();
    confirm_from_ = now() + report_wait;
    read_members();
    send_views(term);
    process_->spawn([this, term] { read_leads_in(term); });
}

void simulated_vm::read_leads_in(const coordinator_term& term)
{
    store_connection store(world_, *process_, index_, short_write_timeout);
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

void simulated_vm::register_self()
{
    if (!read_leads(member_store_.rows))
    {
        return;
    }
    const auto members = read_table(member_store_.rows, member_table);
    if (members.result != store_result::done)
    {
        return;
    }
    apply_members(members);
    const auto own = members_.rows.find(name_);
    has_restarted_ = own != members_.rows.end();
    registration_.use_read(members, has_restarted_ ? own->second.version : 0);
    state_known_ = true;
}

void simulated_vm::maintain_primary_lease()
{
    backoff retry(milliseconds(100), milliseconds(800));
    while (!leaving_)
    {
        if (!state_known_)
        {
            register_self();
        }
        else if (!leads_.are_confirmed(era_))
        {
            read_leads(member_store_.rows);
        }
        const bool may_renew =
            state_known_ && (!registered_ || leads_.are_confirmed(era_));
        if (!may_renew || !write_member_row())
        {
            process_->pause(retry.next());
            continue;
        }
        retry.reset();
        const auto renewed = now();
        while (
            !leaving_ && era_of(registration_.version()) == era_ &&
            !is_renewal_due(now(), renewed, messages_.last_contact(), vm_count))
        {
            process_->pause(renewal_without_coordinator);
        }
    }
}

bool simulated_vm::write_member_row()
{
    constexpr std::size_t transaction_rows = 90;
    const auto renewal =
        registration_.write(leads_.conditions(transaction_rows - 1));
    const auto& answer = renewal.answer;
    note_era(answer.era);
    const bool done = answer.result == store_result::done;
    registered_ = registered_ || done;
    if (done && leads_.are_confirmed(era_))
    {
        primary_lease_.renew(world_.options().lease_counts_from_sending
                                 ? answer.sent
                                 : renewal.lease_from);
        return true;
    }
    if (answer.result == store_result::conflict)
    {
        for (const auto& current : answer.rows)
        {
            apply_lead_row(current);
        }
    }
    return false;
}

void simulated_vm::read_members()
{
    if (members_read_running_)
    {
        return;
    }
    members_read_running_ = true;
    members_requested_at_ = now();
    process_->spawn(
        [this]
        {
            store_connection store(world_, *process_, index_,
                                   patient_write_timeout);
            const auto answer = read_table(store.rows, member_table);
            if (answer.result == store_result::done)
            {
                apply_members(answer);
            }
            members_read_running_ = false;
        });
}

void simulated_vm::apply_members(const store_answer& answer)
{
    note_era(answer.era);
    std::map<std::string, fleet_member> read;
    members_.store_now = answer.now;
    members_.read_at = answer.sent;
    members_.answered_at = now();
    for (const auto& row : answer.rows)
    {
        fleet_member member;
        member.version = row.version;
        if (member.row.ParseFromString(row.value))
        {
            read[row.key] = member;
        }
    }
    members_.replace(std::move(read));
    coordinator_.use_members(members_.rows.size() - members_.rows.count(name_) +
                             1);
}

void simulated_vm::note_era(store_era era)
{
    if (era <= era_)
    {
        return;
    }
    if (era_ != 0)
    {
        members_.incomplete_until =
            now() + primary_lease_duration + primary_lease_margin;
    }
    era_ = era;
}

bool simulated_vm::read_leads(row_store& store)
{
    const auto leads = read_table(store, fleet_table);
    if (leads.result != store_result::done)
    {
        return false;
    }
    note_era(leads.era);
    std::vector<std::string> groups;
    for (const auto& row : leads.rows)
    {
        apply_lead_row(row);
        groups.emplace_back(group_name);
    }
    leads_.forget_rows_except(groups, leads.version);
    return true;
}

void simulated_vm::apply_lead_row(const store_row& row)
{
    proto::GroupLead lead;
    const bool usable = row.table == fleet_table && !row.removed &&
                        row.version != 0 && lead.ParseFromString(row.value);
    if (!usable)
    {
        return;
    }
    if (leads_.apply(lead, row.version))
    {
        use_lead(lead);
    }
}

/// Takes over a lead for the sessions. A statement that runs at a sealed
/// primary is aborted after a grace period.
void simulated_vm::use_lead(const proto::GroupLead& lead)
{
    if (lead.epoch() <= used_lead_.epoch())
    {
        return;
    }
    const auto before = used_lead_.primary();
    used_lead_ = lead;
    if (!lead.sealed() && before != lead.primary())
    {
        abort_statement();
    }
    if (!lead.sealed())
    {
        return;
    }
    process_->spawn(
        [this, epoch = lead.epoch()]
        {
            process_->pause(seal_grace);
            if (used_lead_.epoch() == epoch)
            {
                abort_statement();
            }
        });
}

store_answer simulated_vm::write_lead(const coordinator_term& term,
                                      const proto::GroupLead& lead,
                                      std::uint64_t version)
{
    store_connection store(world_, *process_, index_, patient_write_timeout);
    const auto goes_on =
        [this, &term,
         retry = backoff(milliseconds(100), milliseconds(800))]() mutable
    {
        process_->pause(retry.next());
        return is_current(term);
    };
    auto answer = write_until_answered(
        store.rows, lead_change(term, lead, version), goes_on);
    note_era(answer.era);
    if (answer.result == store_result::done)
    {
        leads_.apply(lead, answer.version);
        use_lead(lead);
        if (const auto current = this->term())
        {
            send_views(*current);
        }
    }
    else if (answer.result == store_result::conflict ||
             answer.result == store_result::restored)
    {
        read_leads(store.rows);
    }
    return answer;
}

void simulated_vm::report_regularly()
{
    for (;;)
    {
        send_report();
        const bool in_use = used_lead_.sealed() && running_;
        process_->pause(in_use ? sealed_report_interval : report_interval);
    }
}

void simulated_vm::send_report()
{
    proto::VmReport report;
    report.set_vm(name_);
    report.set_life(life_);
    report.set_sequence(messages_.record_report(now()));
    report.set_view(messages_.newest_view());
    if (!used_lead_.primary().empty())
    {
        *report.add_leads() = leads_.find(group_name)->lead;
        const auto& primary = used_lead_.primary();
        if (world_.group().reaches(index_, simulated_group::index_of(primary)))
        {
            report.add_reachable(primary);
        }
        else
        {
            report.add_unreachable(primary);
        }
        if (used_lead_.sealed() && !running_)
        {
            auto& ack = *report.add_sealed();
            ack.set_group(group_name);
            ack.set_epoch(used_lead_.epoch());
        }
    }
    if (is_coordinator())
    {
        handle_report(report);
        return;
    }
    const auto& row = lease_.row();
    const bool newer = !row.holder().empty() && row.token() > messages_.token();
    const auto to = newer ? row.holder() : coordinator_name_;
    if (!to.empty())
    {
        world_.send(index_, to,
                    [report](simulated_vm& vm) { vm.handle_report(report); });
    }
}

void simulated_vm::handle_report(const proto::VmReport& report)
{
    const auto current = term();
    if (!current)
    {
        return;
    }
    coordinator_.apply_report(now(), report);
    for (const auto& lead : report.leads())
    {
        if (leads_.learn(lead))
        {
            use_lead(lead);
        }
    }
    send_view(*current, report.vm());
}

void simulated_vm::send_view(const coordinator_term& term,
                             const std::string& vm)
{
    proto::FleetView view;
    view.set_holder(name_);
    view.set_token(term.token);
    view.set_sequence(++view_sequence_);
    for (const auto& [group, row] : leads_.rows())
    {
        *view.add_leads() = row.lead;
        view.add_lead_versions(row.version);
    }
    coordinator_.record_view(now(), vm, view.sequence());
    if (vm == name_)
    {
        handle_view(view);
        return;
    }
    world_.send(index_, vm, [view](simulated_vm& to) { to.handle_view(view); });
}

void simulated_vm::send_views(const coordinator_term& term)
{
    for (std::size_t i = 0; i < vm_count; ++i)
    {
        send_view(term, name(i));
    }
}

void simulated_vm::handle_view(const proto::FleetView& view)
{
    if (messages_.is_outdated(view.token()))
    {
        return;
    }
    coordinator_name_ = view.holder();
    if (!messages_.accept_view(now(), view.token(), view.sequence()))
    {
        return;
    }
    const auto epoch = used_lead_.epoch();
    for (int i = 0; i < view.leads_size(); ++i)
    {
        leads_.apply(view.leads(i), view.lead_versions(i));
        use_lead(view.leads(i));
    }
    if (epoch < used_lead_.epoch() && view.holder() != name_)
    {
        process_->spawn([this] { send_report(); });
    }
}

void simulated_vm::abort_statement()
{
    if (!running_)
    {
        return;
    }
    running_->aborted = true;
    // This may run in a fiber, so the other one is woken by an event.
    running_->pending.give_up_after(microseconds(0));
}

void simulated_vm::write_regularly()
{
    for (;;)
    {
        const bool usable = !used_lead_.primary().empty() &&
                            !used_lead_.sealed() &&
                            primary_lease_.is_valid(now());
        if (usable && !leaving_)
        {
            write_once(used_lead_.primary());
        }
        process_->pause(write_interval);
    }
}

/// Runs one write, which counts as acknowledged if its answer comes while its
/// server still is the primary and the primary lease is valid.
void simulated_vm::write_once(const std::string& server)
{
    const auto plan = world_.take_plan(index_, call_target::statement);
    const auto index = simulated_group::index_of(server);
    const auto id = world_.next_write();
    const pending_answer<simulated_group::commit_result> pending(
        world_.events(), *process_);
    const auto current = std::make_shared<statement>(statement{pending, false});
    running_ = current;
    const auto run = [&world = world_, vm = index_, index, id, pending, plan]
    {
        if (!world.group().reaches(vm, index))
        {
            return;
        }
        const auto result = world.group().commit(index, id);
        if (is_answered(plan))
        {
            pending.answer_after(world.short_delay() + answer_delay(plan),
                                 result);
        }
    };
    if (is_performed(plan))
    {
        world_.events().add(world_.short_delay() + performance_delay(plan) +
                                connection_delay(plan),
                            run);
    }
    pending.give_up_after(statement_timeout);
    if (plan.fate == call_fate::frozen_while_connecting)
    {
        process_->freeze(plan.delay, plan.rotation);
    }
    const auto result = pending.wait(*process_);
    running_.reset();
    const bool acknowledged =
        result && *result != simulated_group::commit_result::refused &&
        !current->aborted && primary_lease_.is_valid(now()) &&
        used_lead_.primary() == server;
    if (acknowledged)
    {
        world_.write_acknowledged(
            id, index_, index,
            *result ==
                simulated_group::commit_result::acknowledged_though_replaced);
    }
}

} // namespace tanagerhoist::fuzz

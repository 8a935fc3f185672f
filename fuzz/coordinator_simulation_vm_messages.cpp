#include "coordinator_simulation_vm.hpp"

#include "tanagerhoist/session/coordinator_times.hpp"

#include <algorithm>
#include <utility>

// Reports, views and statements of one VM.
namespace tanagerhoist::fuzz
{
namespace
{

constexpr milliseconds write_interval{120};
constexpr milliseconds statement_timeout{1000};

} // namespace

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
    report.set_token(messages_.token());
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
    told_leads_.acknowledged(report.vm(), report.life(),
                             report.token() == current->token ? report.view()
                                                              : 0);
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
        if (row.revision > told_leads_.known(vm))
        {
            *view.add_leads() = row.lead;
            view.add_lead_versions(row.version);
        }
    }
    told_leads_.sent(vm, view.sequence(), leads_.revision());
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

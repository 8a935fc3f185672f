#include "coordinator_simulation_operation.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist::fuzz
{
namespace
{

constexpr milliseconds control_timeout{350};
constexpr milliseconds connect_timeout{500};
constexpr milliseconds answer_timeout{1500};

} // namespace

void simulated_vm::run_operation(const coordinator_term& term,
                                 std::function<void(failover_executor&)> body)
{
    groups_.operation_begun(group_name);
    ++operations_;
    process_->spawn(
        [this, term, body = std::move(body)]
        {
            operation port(*this, term);
            failover_executor executor(port, lines_);
            body(executor);
            --operations_;
            groups_.operation_ended(group_name);
        });
}

store_answer simulated_vm::operation::write_lead(const proto::GroupLead& lead,
                                                 std::uint64_t version)
{
    if (!is_coordinator())
    {
        store_answer nothing_written;
        nothing_written.result = store_result::refused;
        return nothing_written;
    }
    return vm_.write_lead(term_, lead, version);
}

std::vector<backend_server> simulated_vm::operation::servers(const std::string&)
{
    std::vector<backend_server> found;
    for (const auto& [id, server] : vm_.world_.group().listed())
    {
        found.push_back(server);
    }
    return found;
}

std::optional<server_role>
simulated_vm::operation::role(const backend_server& server)
{
    return query(server, 0);
}

std::optional<server_role>
simulated_vm::operation::demote(const backend_server& server,
                                std::uint64_t term)
{
    if (!is_coordinator())
    {
        return std::nullopt;
    }
    return query(server, term);
}

std::optional<server_role>
simulated_vm::operation::query(const backend_server& server,
                               std::uint64_t demoted_term)
{
    auto& world = vm_.world_;
    auto& process = *vm_.process_;
    const auto plan = world.take_plan(vm_.index_, call_target::server);
    const auto index = simulated_group::index_of(server.id);
    if (plan.fate == call_fate::frozen_while_connecting)
    {
        process.freeze(plan.delay, plan.rotation);
    }
    const pending_answer<server_role> pending(world.events(), process);
    const auto run =
        [&world, vm = vm_.index_, index, demoted_term, plan, pending]
    {
        if (!world.group().reaches(vm, index))
        {
            return;
        }
        if (demoted_term != 0)
        {
            world.group().demote(index, demoted_term);
        }
        if (is_answered(plan))
        {
            pending.answer_after(world.short_delay() + answer_delay(plan),
                                 world.group().role(index));
        }
    };
    if (is_performed(plan))
    {
        world.events().add(world.short_delay() + performance_delay(plan) +
                               connection_delay(plan),
                           run);
    }
    pending.give_up_after(control_timeout);
    return pending.wait(process);
}

void simulated_vm::operation::confirm_log_end(const proto::GroupLead& lead,
                                              const log_position& end,
                                              moment confirmed)
{
    if (is_coordinator())
    {
        vm_.coordinator_.confirm_log_end(lead, end, confirmed);
    }
}

promotion_result
simulated_vm::operation::request_promotion(const std::string& group,
                                           const std::string& server)
{
    if (!is_coordinator())
    {
        return promotion_result::term_over;
    }
    ++vm_.promotion_requests_;
    promotion_call call(vm_);
    const auto result = order_promotion(
        call, vm_.lease_, term_, {group, server, vm_.name_, 0}, vm_.lines_);
    --vm_.promotion_requests_;
    return result;
}

bool simulated_vm::promotion_call::open()
{
    if (plan_.fate == call_fate::frozen_while_connecting)
    {
        vm_.process_->freeze(plan_.delay, plan_.rotation);
    }
    const bool slow = plan_.fate == call_fate::connected_late;
    if (slow && plan_.delay >= connect_timeout)
    {
        vm_.process_->pause(connect_timeout);
        return false;
    }
    vm_.process_->pause(slow ? plan_.delay : vm_.world_.short_delay());
    return true;
}

promotion_result
simulated_vm::promotion_call::send(const promotion_request& request,
                                   const promotion_limits& limits)
{
    auto& world = vm_.world_;
    auto& process = *vm_.process_;
    const pending_answer<promotion_result> pending(world.events(), process);
    const microseconds timeout = std::min(limits.answer, answer_timeout);
    const auto delivery = world.short_delay() + performance_delay(plan_);
    const bool delivered = is_performed(plan_) && delivery < timeout;
    if (delivered)
    {
        world.events().add(delivery,
                           [&world, plan = plan_, request, pending]
                           {
                               const auto result = world.order_arrives(request);
                               if (is_answered(plan))
                               {
                                   pending.answer_after(world.short_delay() +
                                                            answer_delay(plan),
                                                        result);
                               }
                           });
    }
    pending.give_up_after(timeout);
    return pending.wait(process).value_or(promotion_result::unanswered);
}

} // namespace tanagerhoist::fuzz

#include "coordinator_simulation_vm.hpp"

#include <utility>

// Calls of a VM to the store.
namespace tanagerhoist::fuzz
{
namespace
{

constexpr milliseconds connect_timeout{500};
constexpr milliseconds read_timeout{800};
constexpr std::size_t page_rows = 500;

} // namespace

store_answer simulated_store::read(const std::string& table,
                                   const std::string& from)
{
    return call([table, from](standin::row_table& rows)
                { return rows.read(table, from, page_rows); },
                read_timeout);
}

store_answer simulated_store::write(const store_transaction& transaction)
{
    return call([transaction](standin::row_table& rows)
                { return rows.write(transaction); },
                write_timeout_);
}

store_answer simulated_store::watch(const std::string& table,
                                    std::uint64_t version, milliseconds)
{
    return call([table, version](standin::row_table& rows)
                { return rows.changes(table, version); },
                read_timeout);
}

store_answer simulated_store::call(const performance& perform,
                                   milliseconds timeout)
{
    const auto plan = world_.take_plan(vm_, call_target::store);
    store_answer nothing;
    nothing.sent = world_.now();
    if (plan.fate == call_fate::frozen_while_connecting)
    {
        process_.freeze(plan.delay, plan.rotation);
    }
    const bool slow = plan.fate == call_fate::connected_late;
    if (world_.is_store_silent() || world_.is_cut_off(vm_) ||
        (slow && plan.delay >= connect_timeout))
    {
        process_.pause(connect_timeout);
        return nothing;
    }
    process_.pause(slow ? plan.delay : world_.short_delay());
    nothing.sent = world_.now();
    if (world_.turns_away(vm_))
    {
        nothing.result = store_result::refused;
        return nothing;
    }
    const pending_answer<store_answer> pending(world_.events(), process_);
    const auto arrive =
        [&world = world_, perform, pending, plan, restores = world_.restores()]
    {
        const bool lost = world.is_store_silent() ||
                          (restores != world.restores() &&
                           !world.options().late_writes_survive_restore);
        if (lost)
        {
            return;
        }
        auto answer = perform(world.table());
        answer.now = world.store_clock();
        if (is_answered(plan))
        {
            pending.answer_after(world.short_delay() + answer_delay(plan),
                                 std::move(answer));
        }
    };
    if (is_performed(plan))
    {
        world_.events().add(world_.short_delay() + performance_delay(plan),
                            arrive);
    }
    pending.give_up_after(timeout);
    auto answer = pending.wait(process_).value_or(nothing);
    answer.sent = nothing.sent;
    return answer;
}

void trace_log::write(log_level, std::string_view event,
                      std::initializer_list<log_field> fields)
{
    if (world_.options().trace == nullptr)
    {
        return;
    }
    std::string line = vm_ + " " + std::string(event);
    for (const auto& field : fields)
    {
        line += " " + std::string(field.name) + "=" + field.value;
    }
    world_.trace(line);
}

} // namespace tanagerhoist::fuzz

// Faults of VMs, the store and the group's servers.
#include "coordinator_simulation.hpp"

#include "coordinator_simulation_vm.hpp"

#include <algorithm>
#include <memory>

namespace tanagerhoist::fuzz
{
namespace
{

constexpr milliseconds store_return_time{500};

} // namespace

void coordinator_simulation::freeze(std::size_t vm, milliseconds time,
                                    std::size_t rotation)
{
    trace(simulated_vm::name(vm) + " frozen");
    if (vms_.at(vm))
    {
        vms_.at(vm)->process()->freeze(time, rotation);
    }
}

void coordinator_simulation::kill(std::size_t vm, milliseconds until_start)
{
    trace(simulated_vm::name(vm) + " killed");
    vms_.at(vm).reset();
    events_.add(until_start,
                [this, vm]
                {
                    if (!vms_.at(vm))
                    {
                        start_vm(vm);
                    }
                });
}

void coordinator_simulation::stop(std::size_t vm)
{
    if (!vms_.at(vm))
    {
        return;
    }
    trace(simulated_vm::name(vm) + " stops");
    stopped_at_ = now();
    const std::weak_ptr<fiber_process> process = vms_.at(vm)->process();
    vms_.at(vm)->stop(
        [this, vm, process]
        {
            const bool same =
                vms_.at(vm) && vms_.at(vm)->process() == process.lock();
            if (same)
            {
                kill(vm, store_return_time);
            }
        });
}

void coordinator_simulation::silence_store(milliseconds time)
{
    trace("store silent");
    store_silent_until_ = std::max(store_silent_until_, now() + time);
}

void coordinator_simulation::turn_away(std::size_t vm, milliseconds time)
{
    trace("store turns away " + simulated_vm::name(vm));
    auto& until = turned_away_until_.at(vm);
    until = std::max(until, now() + time);
}

bool coordinator_simulation::turns_away(std::size_t vm) const
{
    return now() < turned_away_until_.at(vm);
}

void coordinator_simulation::cut_off(std::size_t vm, milliseconds time)
{
    trace(simulated_vm::name(vm) + " cut off from store and VMs");
    auto& until = cut_off_until_.at(vm);
    until = std::max(until, now() + time);
}

bool coordinator_simulation::is_cut_off(std::size_t vm) const
{
    return now() < cut_off_until_.at(vm);
}

bool coordinator_simulation::is_anyone_cut_off() const
{
    return std::any_of(cut_off_until_.begin(), cut_off_until_.end(),
                       [this](moment until) { return now() < until; });
}

void coordinator_simulation::restore_store()
{
    if (options_.store_never_restored)
    {
        return;
    }
    trace("store comes back older");
    table_.restore();
    ++restores_;
    constexpr std::size_t more_than_a_run_uses = 2000;
    for (std::size_t i = 0;
         options_.versions_are_unique && i < restores_ * more_than_a_run_uses;
         ++i)
    {
        table_.write({{}, {{"other", "row", "", 0, false}}, {}});
    }
}

void coordinator_simulation::crash(std::size_t server, milliseconds time)
{
    if (!group_.is_whole())
    {
        return;
    }
    trace(simulated_group::name(server) + " crashes");
    group_.crash(server);
    events_.add(time,
                [this, server]
                {
                    trace(simulated_group::name(server) + " returns");
                    group_.start(server);
                });
}

void coordinator_simulation::darken(std::size_t server, std::size_t vms,
                                    bool isolate, milliseconds time)
{
    trace(simulated_group::name(server) + " dark for " + std::to_string(vms));
    auto& dark = group_.at(server).unreachable_for;
    for (std::size_t i = 0; i < vm_count; ++i)
    {
        if (((vms >> i) & 1U) != 0)
        {
            dark.insert(i);
        }
    }
    const bool isolates = isolate && group_.is_whole();
    if (isolates)
    {
        group_.set_isolated(server, true);
    }
    events_.add(time,
                [this, server, isolates]
                {
                    trace(simulated_group::name(server) + " is back");
                    group_.at(server).unreachable_for.clear();
                    if (isolates)
                    {
                        group_.set_isolated(server, false);
                        events_.add(self_demotion_time, [this, server]
                                    { group_.step_down(server); });
                    }
                });
}

void coordinator_simulation::drain(std::size_t server, milliseconds time)
{
    trace(simulated_group::name(server) + " drains");
    group_.at(server).draining = true;
    events_.add(time, [this, server] { group_.at(server).draining = false; });
}

} // namespace tanagerhoist::fuzz

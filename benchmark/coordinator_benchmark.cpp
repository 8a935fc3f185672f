// Cost of the coordinator's messages by the number of VMs: a report with the
// view that answers it, and a request for grants. Bound: with 25 times the VMs
// a message costs at most three times as much.

#include "tanagerhoist/fleet/fleet_coordinator.hpp"
#include "tanagerhoist/session/coordinator_times.hpp"

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstddef>
#include <iostream>
#include <string>

namespace tanagerhoist
{
namespace
{

constexpr std::size_t workspaces = 140;
constexpr std::size_t groups = 20;
constexpr std::size_t workspaces_per_vm = 30;

/// A coordinator that has heard all VMs. Each VM has callers of some of the
/// workspaces.
class busy_coordinator
{
public:
    explicit busy_coordinator(std::size_t vms) : vms_(vms)
    {
        for (std::size_t i = 0; i < workspaces; ++i)
        {
            settings_.workspaces[workspace(i)] = {30, 30};
        }
        for (std::size_t round = 0; round < 4 * vms; ++round)
        {
            report();
        }
    }

    /// Handles the next VM's report.
    /// @return bytes of the view that answers it
    std::size_t report()
    {
        const auto vm = next_++ % vms_;
        now_ += microseconds(report_interval) / vms_;
        proto::VmReport message;
        message.set_vm(name(vm));
        message.set_life(1);
        message.set_sequence(++sequence_);
        for (std::size_t i = 0; i < workspaces_per_vm; ++i)
        {
            *message.add_demand() = demand(vm, i);
        }
        for (std::size_t i = 0; i < groups; ++i)
        {
            auto& sample = *message.add_positions();
            sample.set_group("group" + std::to_string(i));
            sample.set_term(1);
            sample.set_number(sequence_);
            message.add_reachable("server" + std::to_string(i));
        }
        subject_.apply_report(now_, message);
        proto::FleetView view;
        subject_.grantor().grant(now_, settings_, message.vm(),
                                 *view.mutable_grants());
        subject_.add_positions(now_, view);
        subject_.add_seal_waits(now_, view);
        view.set_report(subject_.record_view(now_, message.vm(), sequence_));
        return view.SerializeAsString().size();
    }

    /// Handles a request of the next VM for one operation.
    std::size_t request()
    {
        const auto vm = next_++ % vms_;
        proto::GrantRequest message;
        message.set_vm(name(vm));
        message.set_life(1);
        message.set_sequence(++sequence_);
        *message.add_demand() = demand(vm, next_ % workspaces_per_vm);
        proto::GrantReply reply;
        subject_.grantor().grant(now_, settings_, message,
                                 *reply.mutable_grants());
        return reply.SerializeAsString().size();
    }

    /// Judges whether the primary of each group is reachable.
    void check_groups()
    {
        for (std::size_t i = 0; i < groups; ++i)
        {
            benchmark::DoNotOptimize(subject_.is_primary_unreachable(
                now_, "server" + std::to_string(i)));
        }
    }

private:
    static std::string name(std::size_t vm)
    {
        return "edge-region-zone-" + std::to_string(vm);
    }

    static std::string workspace(std::size_t index)
    {
        return "workspace" + std::to_string(index);
    }

    static proto::WorkspaceDemand demand(std::size_t vm, std::size_t index)
    {
        constexpr std::size_t stride = 7;
        proto::WorkspaceDemand entry;
        entry.set_workspace(workspace((vm * stride + index) % workspaces));
        entry.set_wanted(1);
        entry.set_missing(index % 2);
        entry.set_asked_per_1000s(200);
        return entry;
    }

    std::size_t vms_;
    session_settings settings_;
    fleet_coordinator subject_{limit_tolerance{}, false};
    moment now_{std::chrono::hours(1)};
    std::size_t next_ = 0;
    std::uint64_t sequence_ = 0;
};

void handle_report(benchmark::State& state)
{
    busy_coordinator subject(static_cast<std::size_t>(state.range(0)));
    for (auto ignored : state)
    {
        benchmark::DoNotOptimize(subject.report());
    }
}

void handle_request(benchmark::State& state)
{
    busy_coordinator subject(static_cast<std::size_t>(state.range(0)));
    for (auto ignored : state)
    {
        benchmark::DoNotOptimize(subject.request());
    }
}

void check_groups(benchmark::State& state)
{
    busy_coordinator subject(static_cast<std::size_t>(state.range(0)));
    for (auto ignored : state)
    {
        subject.check_groups();
    }
}

using message = std::size_t (busy_coordinator::*)();

/// Mean time of a message.
double cost_us(std::size_t vms, message handle)
{
    constexpr std::size_t messages = 4000;
    busy_coordinator subject(vms);
    const auto begun = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < messages; ++i)
    {
        benchmark::DoNotOptimize((subject.*handle)());
    }
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - begun;
    return took.count() / static_cast<double>(messages);
}

/// @return whether a message costs no more than the bound in a large fleet
bool is_bounded(const char* name, message handle)
{
    constexpr std::size_t vms = 64;
    constexpr std::size_t large = 1600;
    constexpr double bound = 3;
    const double ratio = cost_us(large, handle) / cost_us(vms, handle);
    std::cout << name << ": cost with " << large << " VMs over cost with "
              << vms << ": " << ratio << ", bound " << bound << '\n';
    return ratio <= bound;
}

BENCHMARK(handle_report)->Arg(7)->Arg(64)->Arg(195)->Arg(400)->Arg(1600);
BENCHMARK(handle_request)->Arg(7)->Arg(64)->Arg(195)->Arg(400)->Arg(1600);
BENCHMARK(check_groups)->Arg(7)->Arg(64)->Arg(195)->Arg(400)->Arg(1600);

} // namespace
} // namespace tanagerhoist

int main(int argc, char** argv)
{
    using namespace tanagerhoist;
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    const bool report = is_bounded("report", &busy_coordinator::report);
    const bool request = is_bounded("request", &busy_coordinator::request);
    return report && request ? 0 : 1;
}

// State test of the coordinator: several VMs, a store, servers and the platform
// on one injected clock, with calls that are late, lost or performed late, and
// VMs that are frozen, killed and stopped. A failing case is played again with
// its trace.
#include "coordinator_simulation.hpp"
#include "random_command.hpp"

#include <array>
#include <cstdlib>
#include <iostream>

namespace
{

using namespace tanagerhoist;
using fuzz::call_fate;
using fuzz::call_target;
using fuzz::coordinator_simulation;

const char* const fixed_parameters = "seed=33 max_success=1000 max_size=60";

std::uint64_t cases = 0;
std::uint64_t writes = 0;
std::uint64_t promotions = 0;
std::uint64_t tokens = 0;
std::uint64_t without_primary = 0;

struct failed_case
{
    std::uint64_t seed = 0;
    std::vector<fuzz::command> commands;
    bool found = false;
};
failed_case last_failure;

constexpr milliseconds longest_duration{14000};

/// Durations that matter: around timeouts, leases and their margins.
milliseconds duration(std::uint32_t choice)
{
    constexpr std::array<milliseconds::rep, 13> durations{
        30,
        120,
        400,
        550,
        700,
        1000,
        1400,
        1900,
        2600,
        3300,
        4500,
        7000,
        longest_duration.count()};
    return milliseconds(durations.at(choice % durations.size()));
}

/// Half of the faults are the coordinator's.
std::size_t vm(const coordinator_simulation& s, std::uint32_t choice)
{
    const auto i = choice % (2 * fuzz::vm_count);
    return i < fuzz::vm_count ? i : s.holder();
}

std::size_t server(coordinator_simulation& s, std::uint32_t choice)
{
    const auto i = choice % (2 * fuzz::server_count);
    return i < fuzz::server_count ? i : s.group().leader().value_or(0);
}

void plan(coordinator_simulation& s, std::uint32_t a, std::uint32_t b)
{
    fuzz::call_plan planned;
    planned.fate = static_cast<call_fate>(b % fuzz::call_fates);
    planned.delay = duration(b / fuzz::call_fates);
    planned.rotation = a / 24;
    s.plan(vm(s, a), static_cast<call_target>(a / 6 % fuzz::call_targets),
           planned);
}

/// Sequences whose length depends on the size, and whose choices don't.
rc::Gen<std::vector<fuzz::command>> sequences(std::uint32_t kinds)
{
    const auto choice = rc::gen::inRange(0U, 1000U);
    return rc::gen::container<std::vector<fuzz::command>>(rc::gen::resize(
        rc::kNominalSize,
        rc::gen::build<fuzz::command>(
            rc::gen::set(&fuzz::command::kind, rc::gen::inRange(0U, kinds)),
            rc::gen::set(&fuzz::command::a, choice),
            rc::gen::set(&fuzz::command::b, choice))));
}

/// The primary fails, is drained, or is cut off from most, and a failover
/// begins.
void lose_primary(coordinator_simulation& s, std::uint32_t a, std::uint32_t b)
{
    const auto leader = s.group().leader();
    if (!leader)
    {
        return;
    }
    constexpr std::size_t all_vms = (std::size_t{1} << fuzz::vm_count) - 1;
    const auto one = b % fuzz::vm_count; // it still reaches the primary
    const auto others = all_vms & ~(std::size_t{1} << one);
    const auto time = duration(b / fuzz::vm_count);
    switch (a % 5)
    {
    case 0:
        s.crash(*leader, time);
        break;
    case 1:
        s.drain(*leader, time);
        break;
    case 2:
        s.darken(*leader, others, a / 5 % 2 == 0, time);
        break;
    case 3:
        s.darken(*leader, all_vms, a / 5 % 2 == 0, time);
        break;
    default:
        s.darken(*leader, others, true, 2 * longest_duration);
        s.cut_off(one, longest_duration);
    }
    s.run_until_operation(milliseconds(3000));
}

/// A VM renews its primary lease slowly, then is cut off with the primary.
void cut_off_after_slow_renewal(coordinator_simulation& s, std::uint32_t a,
                                std::uint32_t b)
{
    fuzz::call_plan slow;
    slow.fate = call_fate::frozen_while_connecting;
    slow.delay = duration(b);
    s.plan(a % fuzz::vm_count, call_target::store, slow);
    s.run_for(milliseconds(4000 + b));
    constexpr std::uint32_t last_kind = 4;
    lose_primary(s, last_kind, a);
}

/// A failover whose coordinator is frozen in one of its next calls.
void fail_over_slowly(coordinator_simulation& s, std::uint32_t a,
                      std::uint32_t b)
{
    constexpr std::uint32_t longer_than_lease = 8; // of the durations
    fuzz::call_plan slow;
    slow.fate = call_fate::frozen_while_connecting;
    slow.delay = duration(longer_than_lease + b % 3);
    slow.rotation = a;
    lose_primary(s, a, b / 3);
    for (std::uint32_t calls = b % 4; calls > 0; --calls)
    {
        s.plan(s.holder(), call_target::server, {});
    }
    s.plan(s.holder(), a % 2 == 0 ? call_target::server : call_target::platform,
           slow);
    s.run_for(milliseconds(3000 + 4 * b));
}

using step = void (*)(coordinator_simulation&, std::uint32_t, std::uint32_t);

const std::array<step, 26> steps{{
    [](coordinator_simulation& s, std::uint32_t a, std::uint32_t)
    { s.run_for(milliseconds(a % 60)); },
    [](coordinator_simulation& s, std::uint32_t a, std::uint32_t)
    { s.run_for(milliseconds(a)); },
    [](coordinator_simulation& s, std::uint32_t a, std::uint32_t)
    { s.run_for(milliseconds(3 * a)); },
    [](coordinator_simulation& s, std::uint32_t, std::uint32_t)
    { s.run_until_operation(milliseconds(3000)); },
    [](coordinator_simulation& s, std::uint32_t, std::uint32_t)
    { s.run_until_operation(milliseconds(3000)); },
    lose_primary,
    lose_primary,
    fail_over_slowly,
    fail_over_slowly,
    cut_off_after_slow_renewal,
    plan,
    plan,
    plan,
    plan,
    plan,
    [](coordinator_simulation& s, std::uint32_t a, std::uint32_t b)
    { s.freeze(vm(s, a), duration(b), a / 6); },
    [](coordinator_simulation& s, std::uint32_t a, std::uint32_t b)
    { s.kill(vm(s, a), duration(b)); },
    [](coordinator_simulation& s, std::uint32_t a, std::uint32_t)
    { s.stop(vm(s, a)); },
    [](coordinator_simulation& s, std::uint32_t, std::uint32_t b)
    { s.silence_store(duration(b)); },
    [](coordinator_simulation& s, std::uint32_t a, std::uint32_t b)
    { s.turn_away(vm(s, a), duration(b)); },
    [](coordinator_simulation& s, std::uint32_t a, std::uint32_t b)
    { s.cut_off(vm(s, a), duration(b)); },
    [](coordinator_simulation& s, std::uint32_t, std::uint32_t)
    { s.copy_store(); },
    [](coordinator_simulation& s, std::uint32_t, std::uint32_t)
    { s.restore_store(); },
    [](coordinator_simulation& s, std::uint32_t a, std::uint32_t b)
    { s.crash(server(s, a), duration(b)); },
    [](coordinator_simulation& s, std::uint32_t a, std::uint32_t b)
    { s.darken(server(s, a), a / 6, b % 2 == 0, duration(b / 2)); },
    [](coordinator_simulation& s, std::uint32_t a, std::uint32_t b)
    { s.drain(server(s, a), duration(b)); },
}};

/// @return the rule that was broken, empty if none
std::string play(std::uint64_t seed, const std::vector<fuzz::command>& commands,
                 fuzz::model_options options)
{
    coordinator_simulation simulation(seed, options);
    for (const auto& command : commands)
    {
        if (!simulation.broken_rule().empty())
        {
            break;
        }
        steps.at(command.kind)(simulation, command.a, command.b);
    }
    if (simulation.broken_rule().empty())
    {
        simulation.finish();
    }
    writes += simulation.writes_acknowledged();
    promotions += simulation.promotions();
    tokens += simulation.terms();
    without_primary += simulation.ended_without_primary() ? 1 : 0;
    return simulation.broken_rule();
}

/// Switches by hand, see model_options.
fuzz::model_options options_of_run()
{
    fuzz::model_options options;
    options.lease_counts_from_sending =
        std::getenv("LEASE_COUNTS_FROM_SENDING") != nullptr;
    options.late_writes_survive_restore =
        std::getenv("LATE_WRITES_SURVIVE_RESTORE") != nullptr;
    options.restores_to_empty_store =
        std::getenv("RESTORES_TO_EMPTY_STORE") != nullptr;
    options.versions_are_unique = std::getenv("VERSIONS_ARE_UNIQUE") != nullptr;
    options.store_never_restored =
        std::getenv("STORE_NEVER_RESTORED") != nullptr;
    return options;
}

bool passed = false;

void print_counts()
{
    std::cout << cases << " cases, " << writes << " writes acknowledged, "
              << promotions << " promotions, " << tokens
              << " tokens in orders, " << without_primary
              << " cases ended without a primary\n"
              << (passed ? "1 passed, 0 failed" : "0 passed, 1 failed")
              << std::endl;
}

} // namespace

int main()
{
    // RapidCheck prints how to reproduce a failure at exit. The handler is
    // registered first, so that the counts are printed after that.
    if (std::atexit(print_counts) != 0)
    {
        return 1;
    }
    setenv("RC_PARAMS", fixed_parameters, 0);
    const auto options = options_of_run();
    passed = rc::check("coordinators that follow each other act in order",
                       [&options]
                       {
                           ++cases;
                           const auto seed =
                               *rc::gen::inRange<std::uint64_t>(0, 1000);
                           const auto commands = *sequences(steps.size());
                           const auto broken = play(seed, commands, options);
                           if (!broken.empty())
                           {
                               last_failure = {seed, commands, true};
                               RC_FAIL(broken);
                           }
                       });
    if (last_failure.found)
    {
        auto traced = options;
        traced.trace = &std::cout;
        play(last_failure.seed, last_failure.commands, traced);
    }
    return passed ? 0 : 1;
}

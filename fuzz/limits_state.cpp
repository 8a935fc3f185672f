// Stateful property test of the fleet-wide limits: several limiters, a
// platform, and a network that loses, duplicates and reorders messages, with
// frozen and killed VMs and network partitions.
//
// Oracle: in every window, the fleet admits at most rate x window + burst
// requests, and the parts held never exceed the total.
#include "fuzz/state_result.hpp"
#include "standin/limits_simulation.hpp"

#include <rapidcheck.h>

#include <array>
#include <cstdlib>
#include <string>
#include <vector>

namespace
{

using namespace tanagerhoist;
using standin::limits_simulation;

constexpr std::size_t vms = 4;
/// One workspace limited mainly by its rate, and one by its burst.
struct share
{
    const char* name;
    std::uint64_t rate;
    std::uint64_t burst;
};
constexpr std::array<share, 2> shares{{{"quick", 60, 30}, {"deep", 10, 300}}};
constexpr std::uint64_t connections = 10;

/// One fault or pause; the meaning of `argument` depends on `kind`.
struct command
{
    unsigned kind;
    unsigned vm;
    unsigned argument;
};

std::ostream& operator<<(std::ostream& stream, const command& each)
{
    return stream << each.kind << '/' << each.vm << '/' << each.argument;
}

fuzz::state_result result;

using step = void (*)(limits_simulation&, const command&);

const std::vector<step> steps{
    [](limits_simulation& simulation, const command& each)
    { simulation.advance(milliseconds(each.argument * 200)); },
    [](limits_simulation& simulation, const command& each)
    { simulation.kill(each.vm); },
    [](limits_simulation& simulation, const command& each)
    { simulation.freeze(each.vm); },
    [](limits_simulation& simulation, const command& each)
    { simulation.thaw(each.vm); },
    [](limits_simulation& simulation, const command& each)
    {
        simulation.kill(each.vm);
        simulation.drop(each.vm);
    },
    [](limits_simulation& simulation, const command& each)
    { simulation.drop(each.vm); },
    [](limits_simulation& simulation, const command& each)
    {
        if (simulation.running(each.vm))
        {
            simulation.relist(each.vm);
        }
    },
    [](limits_simulation& simulation, const command& each)
    {
        if (!simulation.running(each.vm))
        {
            simulation.start(each.vm);
        }
    },
    [](limits_simulation& simulation, const command& each)
    { simulation.cut_platform(each.vm, each.argument % 2 == 0); },
    [](limits_simulation& simulation, const command& each)
    { simulation.cut_peers(each.vm, each.argument % 2 == 0); },
    [](limits_simulation& simulation, const command& each)
    { simulation.platform().lose_replies(each.argument % 8); },
    [](limits_simulation& simulation, const command& each)
    { simulation.platform().set_down(each.argument % 2 == 0); },
    [](limits_simulation& simulation, const command& each)
    { simulation.set_message_faults(each.argument % 40, each.argument % 30); },
    [](limits_simulation& simulation, const command& each)
    { simulation.platform().set_delay(milliseconds(each.argument * 10)); }};

rc::Gen<command> commands_of()
{
    return rc::gen::build<command>(
        rc::gen::set(&command::kind,
                     rc::gen::inRange(0U, static_cast<unsigned>(steps.size()))),
        rc::gen::set(&command::vm,
                     rc::gen::inRange(0U, static_cast<unsigned>(vms))),
        rc::gen::set(&command::argument, rc::gen::inRange(0U, 100U)));
}

proto::Settings settings()
{
    proto::Settings made;
    for (const auto& each : shares)
    {
        auto& workspace = *made.add_workspace();
        workspace.set_name(each.name);
        workspace.set_rate(each.rate);
        workspace.set_burst(each.burst);
    }
    auto& database = *made.add_database();
    database.set_name("d");
    database.set_connections(connections);
    database.set_slots(connections); // so that the slots don't lower the limit
    auto& server = *made.add_server();
    server.set_name("s");
    server.set_database("d");
    return made;
}

void check(const limits_simulation& simulation)
{
    for (const auto& each : shares)
    {
        const std::string name = each.name;
        RC_ASSERT(simulation.usable_and_free_parts("workspace/" + name) <=
                  share_parts);
        RC_ASSERT(simulation.max_rate_excess(name) <=
                  static_cast<std::int64_t>(each.burst * token_unit));
    }
    RC_ASSERT(simulation.usable_and_free_parts("server/s") <= connections);
}

/// Sends twice the rate of "quick" and more than that of "deep": two thirds to
/// one VM, the rest to alternating ones.
void run_load(limits_simulation& simulation, unsigned milliseconds_long,
              unsigned focus)
{
    for (unsigned passed = 0; passed < milliseconds_long; passed += 25)
    {
        for (unsigned each = 0; each < 3; ++each)
        {
            const auto vm = (focus + (each == 2 ? passed / 25 : 0)) % vms;
            simulation.request(vm, "quick");
            simulation.request(vm, "deep");
        }
        simulation.advance(milliseconds(25));
        check(simulation);
    }
}

void run_sequence(const std::vector<command>& sequence)
{
    ++result.sequences;
    limiter_options visits;
    if (sequence.size() % 2 != 0)
    {
        visits.max_hints = 2;
        visits.min_resources_per_tick = 1; // as with many resources
    }
    limits_simulation simulation(
        {vms, 2, milliseconds(1), microseconds(200), milliseconds(100),
         sequence.size() + 1, [] { return std::make_unique<demand_policy>(); },
         settings(), visits});
    run_load(simulation, 3000, 0);
    for (const auto& each : sequence)
    {
        ++result.commands;
        steps[each.kind](simulation, each);
        run_load(simulation, each.argument * 60, each.vm);
    }
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        simulation.thaw(vm);
    }
    run_load(simulation, 12000, 1);
}

} // namespace

int main()
{
    setenv("RC_PARAMS", "seed=20261204 max_success=200 max_size=60", 0);
    const bool passed =
        rc::check("admissions and parts stay within the limits",
                  [] {
                      run_sequence(*rc::gen::container<std::vector<command>>(
                          commands_of()));
                  });
    ++(passed ? result.passed : result.failed);
    return print_result(result);
}

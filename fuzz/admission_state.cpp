// Stateful property test of admission without a coordinator: VMs, their
// coordinator and deputies, with processes that end and freeze, VMs that are
// cut off, messages that are lost or arrive twice, and changed limits.
//
// Oracle: in every window all VMs together admit at most what QUOTA allows.
#include "fuzz/state_result.hpp"
#include "standin/limited_fleet.hpp"

#include <rapidcheck.h>

#include <array>
#include <cstdlib>
#include <vector>

namespace
{

using namespace tanagerhoist;
using standin::limited_fleet;

constexpr std::size_t vms = 24;
const session_workspace limits{46, 46};
const session_workspace lower{23, 23};
constexpr double calm = 0.7; ///< part of the rate
constexpr double flood = 6;  ///< times the rate

fuzz::state_result result;

struct command
{
    unsigned kind = 0;
    unsigned vm = 0;
    unsigned argument = 0; ///< of 100
    bool floods = false;   ///< after the command

    friend std::ostream& operator<<(std::ostream& out, const command& shown)
    {
        return out << shown.kind << '/' << shown.vm << '/' << shown.argument
                   << (shown.floods ? "/flood" : "");
    }
};

using step = void (*)(limited_fleet&, const command&);
constexpr std::array<step, 14> steps{
    [](limited_fleet& fleet, const command&) { fleet.lose_coordinator(); },
    [](limited_fleet& fleet, const command&) { fleet.lose_coordinator(); },
    [](limited_fleet& fleet, const command&) { fleet.take_over(); },
    [](limited_fleet& fleet, const command&)
    {
        fleet.lose_coordinator();
        fleet.run(milliseconds(2800), limits.rate * calm);
        fleet.take_over();
    },
    [](limited_fleet& fleet, const command& which)
    {
        // Open: one that was silent to all for seconds and is heard again in
        // its term passes the limit by up to 1.02, also without deputies.
        if (!fleet.has_coordinator())
        {
            return;
        }
        fleet.cut_off(which.vm);
        fleet.end_term_in(milliseconds(3 * which.argument));
        fleet.run(milliseconds(15 * which.argument), limits.rate * calm);
        fleet.end_former();
    },
    [](limited_fleet& fleet, const command& which) { fleet.restart(which.vm); },
    [](limited_fleet& fleet, const command&)
    {
        for (std::size_t i = 0; i < vms; i += 2)
        {
            fleet.restart(i);
        }
    },
    [](limited_fleet& fleet, const command&)
    {
        fleet.lose_coordinator();
        for (std::size_t i = 0; i < vms; ++i)
        {
            fleet.restart(i);
        }
    },
    [](limited_fleet& fleet, const command& which)
    { fleet.freeze(which.vm, milliseconds(20 * which.argument)); },
    [](limited_fleet& fleet, const command& which)
    {
        fleet.cut_from_deputy(which.vm % limited_fleet::deputies.size(),
                              1 + which.argument % 3);
    },
    [](limited_fleet& fleet, const command& which) { fleet.cut_off(which.vm); },
    [](limited_fleet& fleet, const command&) { fleet.reconnect(); },
    [](limited_fleet& fleet, const command& which)
    { fleet.lose_messages(0.004 * which.argument); },
    [](limited_fleet& fleet, const command& which)
    { fleet.use_limits(which.argument % 2 == 0 ? lower : limits); }};

rc::Gen<command> commands_of()
{
    return rc::gen::build<command>(
        rc::gen::set(&command::kind,
                     rc::gen::inRange(0U, static_cast<unsigned>(steps.size()))),
        rc::gen::set(&command::vm,
                     rc::gen::inRange(0U, static_cast<unsigned>(vms))),
        rc::gen::set(&command::argument, rc::gen::inRange(0U, 100U)),
        rc::gen::set(&command::floods));
}

void run_sequence(const std::vector<command>& sequence)
{
    ++result.sequences;
    limited_fleet fleet(vms, limits, static_cast<unsigned>(sequence.size()));
    fleet.use_deputies();
    fleet.run(std::chrono::seconds(8), limits.rate * calm);
    for (const auto& each : sequence)
    {
        ++result.commands;
        steps.at(each.kind)(fleet, each);
        fleet.run(milliseconds(30 * each.argument),
                  limits.rate * (each.floods ? flood : calm));
        RC_ASSERT(fleet.worst_window() <= 1);
    }
    fleet.take_over();
    fleet.reconnect();
    fleet.run(std::chrono::seconds(6), limits.rate * flood);
    RC_ASSERT(fleet.worst_window() <= 1);
}

} // namespace

int main()
{
    setenv("RC_PARAMS", "seed=20261207 max_success=60 max_size=25", 0);
    const bool passed =
        rc::check("admissions of all VMs stay within QUOTA",
                  [] {
                      run_sequence(*rc::gen::container<std::vector<command>>(
                          commands_of()));
                  });
    ++(passed ? result.passed : result.failed);
    return print_result(result);
}

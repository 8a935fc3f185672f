// State test of whole nodes, the same that run in tanagerhoistd: random
// requests and faults, checked against an oracle of plain maps.
#include "fuzz/node_simulation.hpp"
#include "fuzz/state_result.hpp"

#include <rapidcheck.h>

#include <cstdlib>
#include <vector>

namespace
{

using namespace tanagerhoist::fuzz;

constexpr char fixed_parameters[] =
    "seed=20261204 max_success=150 max_size=80 verbose_progress=0";

// Sequence length per unit of RapidCheck size.
constexpr double length_scale = 1.5;

state_result result;

rc::Gen<std::vector<command>> random_sequence()
{
    return rc::gen::container<std::vector<command>>(rc::gen::build<command>(
        rc::gen::set(&command::kind,
                     rc::gen::inRange(0U, node_simulation::kind_count())),
        rc::gen::set(&command::a, rc::gen::inRange(0U, 1000U)),
        rc::gen::set(&command::b, rc::gen::inRange(0U, 1000U))));
}

void check_sequence()
{
    const auto sequence = *rc::gen::scale(length_scale, random_sequence());
    ++result.sequences;
    node_simulation simulation;
    for (const auto& each : sequence)
    {
        ++result.commands;
        simulation.run(each);
    }
    simulation.finish();
}

} // namespace

int main()
{
    setenv("RC_PARAMS", fixed_parameters, 0);
    const bool passed =
        rc::check("the invariants of the fleet hold", check_sequence);
    ++(passed ? result.passed : result.failed);
    return print_result(result);
}

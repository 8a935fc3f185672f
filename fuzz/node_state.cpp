// State test of whole nodes, the same that run in tanagerhoistd: random
// requests and faults, checked against an oracle of plain maps.
#include "fuzz/node_simulation.hpp"

#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <vector>

namespace
{

using namespace tanagerhoist::fuzz;

constexpr char fixed_parameters[] =
    "seed=20261204 max_success=150 max_size=80 verbose_progress=0";

// Sequence length per unit of RapidCheck size.
constexpr double length_scale = 1.5;

std::uint64_t sequences = 0;
std::uint64_t commands = 0;

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
    ++sequences;
    node_simulation simulation;
    for (const auto& each : sequence)
    {
        ++commands;
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
    std::cout << sequences << " sequences, " << commands << " commands\n"
              << (passed ? 1 : 0) << " passed, " << (passed ? 0 : 1)
              << " failed\n";
    return passed ? 0 : 1;
}

// Property tests of the queue and the connection pool: random operations,
// failures and limit changes are checked against simple models.
#include "fuzz/pool_oracle.hpp"
#include "fuzz/queue_oracle.hpp"
#include "fuzz/state_result.hpp"

#include <rapidcheck.h>

#include <cstdlib>

namespace
{

using namespace tanagerhoist;
using namespace tanagerhoist::fuzz;

constexpr char fixed_parameters[] =
    "seed=20260731 max_success=2000 max_size=200 verbose_progress=0";

state_result result;

template <typename Oracle>
void run_all(Oracle oracle)
{
    ++result.sequences;
    const auto sequence = *sequence_of(Oracle::kinds);
    for (const command& each : sequence)
    {
        ++result.commands;
        oracle.run(each);
    }
    oracle.drain();
}

void check_start_time_fair()
{
    run_all(queue_oracle(make_start_time_fair_order, 0));
}

void check_weighted_fair()
{
    run_all(queue_oracle(make_weighted_fair_order, 16));
}

void check_pool()
{
    run_all(pool_oracle());
}

struct property
{
    const char* name;
    void (*check)();
};

constexpr property properties[] = {
    {"start-time fair: each request is removed once, in fair order",
     check_start_time_fair},
    {"weighted fair: each request is removed once, in fair order",
     check_weighted_fair},
    {"a connection has one owner and the limit is kept", check_pool}};

} // namespace

int main()
{
    setenv("RC_PARAMS", fixed_parameters, 0);
    for (const property& each : properties)
    {
        ++(rc::check(each.name, each.check) ? result.passed : result.failed);
    }
    return print_result(result);
}

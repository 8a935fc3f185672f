// Runs the load, prints its statistics and checks the result.
#include "load_run.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace tanagerhoist::load
{
namespace
{

bool outcomes_add_up(const outcome_counts& counts)
{
    const bool passed = counts.sent == counts.outcome_sum();
    if (!passed)
    {
        std::cout
            << "the outcomes do not add up to the number of requests sent\n";
    }
    return passed;
}

} // namespace

exit_code run(command_context& context)
{
    if (context.fleet.keys.empty() || context.fleet.daemons.empty())
    {
        std::cerr << "run needs at least one VM, and --keys\n";
        return exit_code::usage;
    }
    load_run load(context);
    boost::asio::signal_set signals(context.io, SIGTERM, SIGINT);
    signals.async_wait(
        [&load](boost::system::error_code error, int)
        {
            if (!error)
            {
                load.stop();
            }
        });
    load.run();
    load.statistics().print(std::cout);
    bool passed = outcomes_add_up(load.statistics().total()) &&
                  load.statistics().stale_reads == 0;
    if (context.line.verify)
    {
        passed =
            load.writes().verify(context.client, context.fleet, std::cout) &&
            passed;
    }
    return passed ? exit_code::ok : exit_code::violation;
}

} // namespace tanagerhoist::load

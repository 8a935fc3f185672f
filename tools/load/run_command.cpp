// Load with counts, measures and verification.
#include "load_run.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace tanagerhoist::load
{
namespace
{

bool adds_up(const outcome_counts& counts)
{
    const bool right = counts.sent == counts.answered_or_lost();
    if (!right)
    {
        std::cout << "the outcomes do not add up to what was sent\n";
    }
    return right;
}

} // namespace

exit_code run(command_context& context)
{
    if (context.all.keys.empty() || context.all.daemons.empty())
    {
        std::cerr << "run needs VMs and --keys\n";
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
    load.seen().print(std::cout);
    bool right = adds_up(load.seen().total()) && load.seen().stale_reads == 0;
    if (context.line.verify)
    {
        right = load.writes().verify(context.calls, context.all, std::cout) &&
                right;
    }
    return right ? exit_code::ok : exit_code::violation;
}

} // namespace tanagerhoist::load

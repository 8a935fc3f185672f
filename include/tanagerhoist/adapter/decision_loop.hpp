#ifndef TANAGERHOIST_ADAPTER_DECISION_LOOP_HPP
#define TANAGERHOIST_ADAPTER_DECISION_LOOP_HPP

#include "tanagerhoist/adapter/boot_clock.hpp"
#include "tanagerhoist/adapter/metrics.hpp"
#include "tanagerhoist/adapter/record_sink.hpp"
#include "tanagerhoist/decision/node.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace tanagerhoist
{

/// Runs a node on one thread: brings the inputs of all threads into one order,
/// stamps them with the clocks, ticks, and hands the actions on.
class decision_loop
{
public:
    /// Performs actions; called on the thread of the loop.
    using action_handler = std::function<void(std::vector<proto::Action>)>;

    decision_loop(node_options options, action_handler perform,
                  record_sink& record, metrics& counters);

    /// Queues an input; its times are filled in. From any thread.
    void post(proto::Input input);

    /// Runs `task` on the thread of the loop. From any thread.
    void post_task(std::function<void()> task);

    /// Serves inputs until `stop`.
    void run();
    void stop();

private:
    void apply(proto::Input input);
    void schedule_tick();
    moment now() const;

    boost::asio::io_context context_;
    boost::asio::steady_timer timer_;
    boot_clock::time_point start_;
    node node_;
    action_handler handle_actions_;
    record_sink& record_;
    metrics& metrics_;
};

} // namespace tanagerhoist

#endif

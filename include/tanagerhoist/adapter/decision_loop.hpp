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

/// Runs a node on one thread: serializes the inputs of all threads, timestamps
/// them, adds a periodic tick and passes the resulting actions to a handler.
class decision_loop
{
public:
    /// Performs actions; called on the loop's thread.
    using action_handler = std::function<void(std::vector<proto::Action>)>;

    decision_loop(node_options options, action_handler perform,
                  record_sink& record, metrics& counters);

    /// Queues an input; the loop sets its timestamps. May be called from any
    /// thread.
    void post(proto::Input input);

    /// Runs `task` on the loop's thread. May be called from any thread.
    void post_task(std::function<void()> task);

    /// Processes inputs on the calling thread until `stop` is called.
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

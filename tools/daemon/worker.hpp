#ifndef TANAGERHOIST_TOOLS_DAEMON_WORKER_HPP
#define TANAGERHOIST_TOOLS_DAEMON_WORKER_HPP

#include "tanagerhoist/adapter/caller_frontend.hpp"
#include "tanagerhoist/adapter/outbound_connections.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>

namespace tanagerhoist
{

/// Thread that serves callers and makes outgoing calls, with its own io_context
/// and fibers.
class worker
{
public:
    worker(std::uint64_t index, const settings_snapshot& settings,
           metrics& counters, caller_frontend::input_sink inputs);

    boost::asio::io_context& context() { return context_; }
    caller_frontend& frontend() { return frontend_; }
    outbound_connections& connections() { return connections_; }

    /// Runs `task` on the worker's thread. Thread-safe.
    void post_task(std::function<void()> task);

    void start();

    /// Stops the thread once every caller has its answer, at the latest after
    /// `timeout`. Does not block. Thread-safe.
    void finish(milliseconds timeout);

    /// Waits for the thread to end.
    void join();

private:
    void wait_for_callers(std::chrono::steady_clock::time_point deadline);

    boost::asio::io_context context_;
    caller_frontend frontend_;
    outbound_connections connections_;
    std::thread thread_;
};

} // namespace tanagerhoist

#endif

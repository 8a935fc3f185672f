#ifndef TANAGERHOIST_TOOLS_DAEMON_WORKER_HPP
#define TANAGERHOIST_TOOLS_DAEMON_WORKER_HPP

#include "tanagerhoist/adapter/call_lines.hpp"
#include "tanagerhoist/adapter/caller_door.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <thread>

namespace tanagerhoist
{

/// One thread that serves callers and makes outgoing calls, with an io_context
/// and fibers of its own.
class worker
{
public:
    worker(std::uint64_t index, const settings_snapshot& settings,
           metrics& counters, caller_door::input_sink inputs);

    boost::asio::io_context& context() { return context_; }
    caller_door& door() { return door_; }
    call_lines& lines() { return lines_; }

    /// Runs `task` on the worker's thread. From any thread.
    void run_soon(std::function<void()> task);

    void start();

    /// Ends the thread once every caller has its answer, at the deadline after
    /// `timeout`. From any thread; the work goes on meanwhile.
    void finish(milliseconds timeout);

    /// Waits for the thread to end.
    void join();

private:
    void wait_for_callers(std::chrono::steady_clock::time_point deadline);

    boost::asio::io_context context_;
    caller_door door_;
    call_lines lines_;
    std::thread thread_;
};

} // namespace tanagerhoist

#endif

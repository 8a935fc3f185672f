#ifndef TANAGERHOIST_ADAPTER_FIBER_LOOP_HPP
#define TANAGERHOIST_ADAPTER_FIBER_LOOP_HPP

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>

#include <chrono>
#include <cstddef>

namespace tanagerhoist
{

/// Fiber scheduler of one thread whose main fiber runs an io_context. Fibers
/// run in the order in which they became ready and never migrate to another
/// thread.
///
/// Fibers may wait only for futures that io_context handlers fulfil. Timed
/// waits of fibers are not supported; a deadline must be a timer of the
/// io_context.
class fiber_scheduler : public boost::fibers::algo::algorithm
{
public:
    void awakened(boost::fibers::context* ready) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override;
    void suspend_until(
        const std::chrono::steady_clock::time_point&) noexcept override;
    void notify() noexcept override;

    /// Number of ready fibers, not counting the main and dispatcher fibers.
    std::size_t ready_workers() const noexcept { return ready_workers_; }

private:
    boost::fibers::scheduler::ready_queue_type queue_;
    std::size_t ready_workers_ = 0;
};

/// Runs the handlers of `context` and the fibers that they make ready on the
/// calling thread until the context is stopped. They take turns: a fiber that
/// is ready waits for the handlers of a few milliseconds at most, however many
/// are ready.
void run_fiber_loop(boost::asio::io_context& context);

} // namespace tanagerhoist

#endif

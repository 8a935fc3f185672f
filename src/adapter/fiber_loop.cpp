#include "tanagerhoist/adapter/fiber_loop.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/operations.hpp>

namespace tanagerhoist
{
namespace
{

// What callbacks may use before the fibers that are ready run. A callback is
// never interrupted.
constexpr std::chrono::milliseconds longest_turn{5};
constexpr std::size_t most_callbacks_per_turn = 256;

bool is_worker(const boost::fibers::context& fiber)
{
    return !fiber.is_context(boost::fibers::type::pinned_context);
}

/// Runs callbacks until none is ready or the turn is over: they may follow each
/// other without end, for example while a datagram always waits.
void run_turn(boost::asio::io_context& context)
{
    const auto end = std::chrono::steady_clock::now() + longest_turn;
    for (std::size_t run = 0; run < most_callbacks_per_turn; ++run)
    {
        if (context.poll_one() == 0 || std::chrono::steady_clock::now() >= end)
        {
            return;
        }
    }
}

} // namespace

void fiber_scheduler::awakened(boost::fibers::context* ready) noexcept
{
    ready->ready_link(queue_);
    if (is_worker(*ready))
    {
        ++ready_workers_;
    }
}

boost::fibers::context* fiber_scheduler::pick_next() noexcept
{
    if (queue_.empty())
    {
        return nullptr;
    }
    boost::fibers::context* next = &queue_.front();
    queue_.pop_front();
    if (is_worker(*next))
    {
        --ready_workers_;
    }
    return next;
}

bool fiber_scheduler::has_ready_fibers() const noexcept
{
    return !queue_.empty();
}

// The main fiber is always ready or running, so the dispatcher never has to
// sleep; run_fiber_loop blocks in the io_context instead.
void fiber_scheduler::suspend_until(
    const std::chrono::steady_clock::time_point&) noexcept
{
}

void fiber_scheduler::notify() noexcept {}

void run_fiber_loop(boost::asio::io_context& context)
{
    auto* scheduler = new fiber_scheduler; // owned by Boost's scheduler
    boost::fibers::context::active()->get_scheduler()->set_algo(
        boost::fibers::algo::algorithm::ptr_t(scheduler));
    auto work = boost::asio::make_work_guard(context);
    while (!context.stopped())
    {
        if (scheduler->ready_workers() == 0)
        {
            context.run_one();
        }
        run_turn(context);
        boost::this_fiber::yield();
    }
}

} // namespace tanagerhoist

#include "worker.hpp"

#include "tanagerhoist/adapter/fiber_loop.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr milliseconds finish_poll_interval{10};

} // namespace

worker::worker(std::uint64_t index, const settings_snapshot& settings,
               metrics& counters, caller_frontend::input_sink inputs)
    : frontend_(index, settings, counters, inputs),
      connections_(context_, std::move(inputs))
{
}

void worker::post_task(std::function<void()> task)
{
    boost::asio::post(context_, std::move(task));
}

void worker::start()
{
    thread_ = std::thread(
        [this]
        {
            const rcu_reader reader;
            run_fiber_loop(context_);
        });
}

void worker::finish(milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    post_task(
        [this, deadline]
        {
            frontend_.close_idle();
            wait_for_callers(deadline);
        });
}

void worker::wait_for_callers(std::chrono::steady_clock::time_point deadline)
{
    if (frontend_.size() == 0 || std::chrono::steady_clock::now() >= deadline)
    {
        frontend_.fail_pending();
        connections_.close_all();
    }
    if (frontend_.size() == 0 && connections_.active_fibers() == 0)
    {
        context_.stop();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(finish_poll_interval);
    timer->async_wait([this, timer, deadline](boost::system::error_code)
                      { wait_for_callers(deadline); });
}

void worker::join()
{
    if (thread_.joinable())
    {
        thread_.join();
    }
}

} // namespace tanagerhoist

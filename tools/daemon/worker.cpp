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

constexpr milliseconds finish_poll{10};

} // namespace

worker::worker(std::uint64_t index, const settings_snapshot& settings,
               metrics& figures, caller_door::input_sink inputs)
    : door_(index, settings, figures, inputs),
      lines_(context_, std::move(inputs))
{
}

void worker::run_soon(std::function<void()> task)
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

void worker::finish(milliseconds longest)
{
    const auto latest = std::chrono::steady_clock::now() + longest;
    run_soon(
        [this, latest]
        {
            door_.close_idle();
            await_callers(latest);
        });
}

void worker::await_callers(std::chrono::steady_clock::time_point latest)
{
    if (door_.size() == 0 || std::chrono::steady_clock::now() >= latest)
    {
        door_.abandon();
        lines_.close_all();
    }
    if (door_.size() == 0 && lines_.active() == 0)
    {
        context_.stop();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(finish_poll);
    timer->async_wait([this, timer, latest](boost::system::error_code)
                      { await_callers(latest); });
}

void worker::join()
{
    if (thread_.joinable())
    {
        thread_.join();
    }
}

} // namespace tanagerhoist

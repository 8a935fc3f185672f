#ifndef TANAGERHOIST_TOOLS_LOAD_FIBER_SLEEP_HPP
#define TANAGERHOIST_TOOLS_LOAD_FIBER_SLEEP_HPP

#include "tanagerhoist/adapter/fiber_await.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <utility>

namespace tanagerhoist::load
{

/// Suspends the calling fiber until `when`.
inline void sleep_until(boost::asio::io_context& context,
                        std::chrono::steady_clock::time_point when)
{
    boost::asio::steady_timer timer(context, when);
    await([&](auto handler) { timer.async_wait(std::move(handler)); });
}

/// Suspends the calling fiber for `time`.
inline void sleep_for(boost::asio::io_context& context,
                      std::chrono::milliseconds time)
{
    sleep_until(context, std::chrono::steady_clock::now() + time);
}

} // namespace tanagerhoist::load

#endif

#include "tanagerhoist/adapter/fiber_await.hpp"
#include "tanagerhoist/adapter/fiber_loop.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/fiber.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <functional>
#include <thread>

namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;

/// Callbacks that follow each other without a pause: each makes the next one
/// ready, as a socket does that always has a datagram.
class following_callbacks
{
public:
    /// @param most number of callbacks, so that each run ends
    following_callbacks(asio::io_context& context, std::size_t most)
        : context_(context), most_(most)
    {
    }

    void next()
    {
        if (!stopped && ++run < most_)
        {
            asio::post(context_, [this] { next(); });
        }
    }

    std::size_t run = 0;
    bool stopped = false;

private:
    asio::io_context& context_;
    std::size_t most_;
};

} // namespace

class fiber_loop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fiber_loop_test);
    CPPUNIT_TEST(ready_fiber_runs_beside_following_callbacks);
    CPPUNIT_TEST(fiber_waiting_for_timer_runs_beside_following_callbacks);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A coordinator that always had a datagram to handle did not renew its
    /// lease.
    void ready_fiber_runs_beside_following_callbacks()
    {
        run(
            []
            {
                for (int i = 0; i < 3; ++i)
                {
                    boost::this_fiber::yield();
                }
            });
    }

    void fiber_waiting_for_timer_runs_beside_following_callbacks()
    {
        run(
            [this]
            {
                asio::steady_timer timer(context_,
                                         std::chrono::microseconds(1));
                await([&timer](auto handler)
                      { timer.async_wait(std::move(handler)); });
            });
    }

private:
    static constexpr std::size_t most_callbacks = 20'000;

    /// Runs `body` in a fiber beside callbacks; it must end before they do.
    void run(std::function<void()> body)
    {
        following_callbacks callbacks(context_, most_callbacks);
        std::thread thread(
            [&]
            {
                callbacks.next();
                boost::fibers::fiber(boost::fibers::launch::post,
                                     [&]
                                     {
                                         body();
                                         callbacks.stopped = true;
                                         context_.stop();
                                     })
                    .detach();
                run_fiber_loop(context_);
            });
        thread.join();
        CPPUNIT_ASSERT(callbacks.run < most_callbacks);
    }

    asio::io_context context_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(fiber_loop_test);

} // namespace tanagerhoist

#ifndef TANAGERHOIST_ADAPTER_FIBER_AWAIT_HPP
#define TANAGERHOIST_ADAPTER_FIBER_AWAIT_HPP

#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>

#include <utility>

namespace tanagerhoist
{

/// Starts an asynchronous operation and suspends the calling fiber until its
/// completion handler has run. The operation must complete on this thread's
/// io_context.
/// @param start called with a handler for (error_code) or (error_code, size)
/// @return the operation's error code
template <class Start>
boost::system::error_code await(Start&& start)
{
    boost::fibers::promise<boost::system::error_code> done;
    auto result = done.get_future();
    std::forward<Start>(start)([&done](boost::system::error_code error,
                                       auto&&...) { done.set_value(error); });
    return result.get();
}

} // namespace tanagerhoist

#endif

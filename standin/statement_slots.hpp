#ifndef TANAGERHOIST_STANDIN_STATEMENT_SLOTS_HPP
#define TANAGERHOIST_STANDIN_STATEMENT_SLOTS_HPP

#include "tanagerhoist/core/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>

namespace tanagerhoist::standin
{

/// Simulates the statement execution of a server: each statement takes a fixed
/// service time, a limited number run concurrently, the others wait in order of
/// arrival.
class statement_slots
{
public:
    /// @param slots maximum number of concurrent statements, at least 1
    /// @param service_time time per statement; 0 runs each statement
    ///        immediately and without limit
    statement_slots(boost::asio::io_context& context, std::uint64_t slots,
                    milliseconds service_time);

    /// Queues `statement`; it is called at the end of its service time.
    void run(std::function<void()> statement);

private:
    void start();

    boost::asio::io_context& context_;
    std::uint64_t slots_;
    milliseconds service_time_;
    std::deque<std::function<void()>> waiting_;
    std::list<boost::asio::steady_timer> running_;
};

} // namespace tanagerhoist::standin

#endif

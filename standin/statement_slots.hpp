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

/// Runs statements that each take a service time, a limited number at once and
/// the others in the order of their arrival.
class statement_slots
{
public:
    /// @param slots statements at once, at least 1
    /// @param service_time of one statement; 0 runs each at once
    statement_slots(boost::asio::io_context& context, std::uint64_t slots,
                    milliseconds service_time);

    /// Runs `statement` at the end of its service time.
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

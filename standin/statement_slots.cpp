#include "standin/statement_slots.hpp"

#include <utility>

namespace tanagerhoist::standin
{

statement_slots::statement_slots(boost::asio::io_context& context,
                                 std::uint64_t slots, milliseconds service_time)
    : context_(context), slots_(slots), service_time_(service_time)
{
}

void statement_slots::run(std::function<void()> statement)
{
    if (service_time_.count() == 0)
    {
        statement();
        return;
    }
    waiting_.push_back(std::move(statement));
    start();
}

void statement_slots::start()
{
    if (running_.size() >= slots_ || waiting_.empty())
    {
        return;
    }
    auto statement = std::move(waiting_.front());
    waiting_.pop_front();
    const auto timer = running_.emplace(running_.end(), context_);
    timer->expires_after(service_time_);
    timer->async_wait(
        [this, timer, statement = std::move(statement)](
            const boost::system::error_code& error)
        {
            if (error)
            {
                return;
            }
            running_.erase(timer);
            statement();
            start();
        });
}

} // namespace tanagerhoist::standin

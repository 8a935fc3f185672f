#include "standin/promotion_record.hpp"

namespace tanagerhoist::standin
{

void promotion_record::add(const promotion_order& next)
{
    for (const auto& former : orders_)
    {
        const bool shared =
            next.token == former.token && next.holder != former.holder;
        if (shared || next.token < former.token)
        {
            violations_.push_back(to_text(next) + " after " + to_text(former));
        }
    }
    orders_.push_back(next);
}

std::string to_text(const promotion_order& order)
{
    return order.holder + " with token " + std::to_string(order.token) +
           " promotes " + order.server;
}

} // namespace tanagerhoist::standin

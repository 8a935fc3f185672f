#ifndef TANAGERHOIST_FLEET_PROMOTION_ORDER_HPP
#define TANAGERHOIST_FLEET_PROMOTION_ORDER_HPP

#include <cstdint>
#include <string>

namespace tanagerhoist
{

/// An order that a server take over its group's lead.
struct promotion_order
{
    std::string group;
    std::string server;
    std::string holder;      ///< VM that holds the duty
    std::uint64_t token = 0; ///< fencing token of the holder
};

/// How an order was answered.
enum class promotion_answer
{
    accepted,
    server_unfit, ///< not running, or another order is on its way
    unanswered    ///< may have been taken
};

} // namespace tanagerhoist

#endif

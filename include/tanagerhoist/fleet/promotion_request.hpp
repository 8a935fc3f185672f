#ifndef TANAGERHOIST_FLEET_PROMOTION_REQUEST_HPP
#define TANAGERHOIST_FLEET_PROMOTION_REQUEST_HPP

#include <cstdint>
#include <string>

namespace tanagerhoist
{

/// Request to promote a server to primary of its group.
struct promotion_request
{
    std::string group;
    std::string server;
    std::string holder;      ///< VM that holds the coordinator lease
    std::uint64_t token = 0; ///< fencing token of the holder
};

/// Outcome of a promotion request.
enum class promotion_result
{
    accepted,
    not_eligible, ///< not running, or another request is in progress
    unanswered    ///< the promotion may still happen
};

} // namespace tanagerhoist

#endif

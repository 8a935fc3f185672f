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
    unanswered,   ///< the promotion may still happen
    not_sent, ///< platform not reached, or took none; or too late in the term
    term_over ///< not sent: the sender is no longer the coordinator
};

/// Text of a result in log lines.
inline const char* promotion_result_name(promotion_result result)
{
    switch (result)
    {
    case promotion_result::accepted:
        return "accepted";
    case promotion_result::not_eligible:
        return "unfit";
    case promotion_result::unanswered:
        return "none";
    case promotion_result::not_sent:
        return "not taken";
    default:
        return "not sent, term over";
    }
}

} // namespace tanagerhoist

#endif

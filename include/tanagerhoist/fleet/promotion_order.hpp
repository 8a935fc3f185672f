#ifndef TANAGERHOIST_FLEET_PROMOTION_ORDER_HPP
#define TANAGERHOIST_FLEET_PROMOTION_ORDER_HPP

#include "tanagerhoist/core/structured_log.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/coordinator_lease.hpp"
#include "tanagerhoist/fleet/promotion_request.hpp"

namespace tanagerhoist
{

/// Times from the sending of a promotion request.
struct promotion_limits
{
    /// What the platform has not received by then is discarded.
    milliseconds delivery;
    milliseconds answer;
};

/// Connection to the platform for one promotion request. Calls may suspend the
/// calling fiber.
class promotion_connection
{
public:
    virtual ~promotion_connection() = default;

    /// Opens the connection; sends nothing.
    /// @return false if that failed
    virtual bool open() = 0;

    /// Sends the request, without suspending the fiber before, and waits for
    /// the answer.
    virtual promotion_result send(const promotion_request& request,
                                  const promotion_limits& limits) = 0;
};

/// Requests a promotion in the name of a coordinator's term. The term is
/// checked when the connection is open, no byte outlives it, and the platform
/// may read late what it has received.
/// @param request its token is set to that of the term
promotion_result order_promotion(promotion_connection& connection,
                                 coordinator_lease& lease,
                                 const coordinator_term& term,
                                 promotion_request request,
                                 structured_log& lines);

} // namespace tanagerhoist

#endif

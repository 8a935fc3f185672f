#ifndef TANAGERHOIST_FLEET_PROMOTION_ORDER_HPP
#define TANAGERHOIST_FLEET_PROMOTION_ORDER_HPP

#include "tanagerhoist/core/structured_log.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/coordinator_lease.hpp"
#include "tanagerhoist/fleet/promotion_request.hpp"

namespace tanagerhoist
{

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
    /// @param limit time for delivery and answer; what the platform has not
    ///   received by then is discarded
    virtual promotion_result send(const promotion_request& request,
                                  milliseconds limit) = 0;
};

/// Requests a promotion in the name of a coordinator's term. The term is
/// checked when the connection is open, and no byte outlives it.
/// @param request its token is set to that of the term
promotion_result order_promotion(promotion_connection& connection,
                                 const coordinator_lease& lease,
                                 const coordinator_term& term,
                                 promotion_request request,
                                 structured_log& lines);

} // namespace tanagerhoist

#endif

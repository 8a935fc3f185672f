#include "tanagerhoist/fleet/promotion_order.hpp"

#include <string>

namespace tanagerhoist
{

promotion_result order_promotion(promotion_connection& connection,
                                 coordinator_lease& lease,
                                 const coordinator_term& term,
                                 promotion_request request,
                                 structured_log& lines)
{
    if (!connection.open())
    {
        return promotion_result::not_sent;
    }
    const auto left = lease.time_left(term);
    if (left <= milliseconds(0))
    {
        return promotion_result::term_over;
    }
    if (!lease.may_order(term))
    {
        return promotion_result::not_sent;
    }
    request.token = term.token;
    lines.write(log_level::change, "promotion_sent",
                {{"group", request.group},
                 {"server", request.server},
                 {"token", std::to_string(request.token)},
                 {"term_ms_left", std::to_string(left.count())}});
    const auto result =
        connection.send(request, {left - order_reading_time, left});
    if (result == promotion_result::unanswered)
    {
        lease.note_unanswered_order();
    }
    return result;
}

} // namespace tanagerhoist

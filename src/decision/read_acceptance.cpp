#include "tanagerhoist/decision/read_acceptance.hpp"

#include "tanagerhoist/core/log_point.hpp"

namespace tanagerhoist
{

bool is_read_acceptable(const proto::ExecuteReply& reply,
                        const proto::LogPoint& token, bool has_token,
                        milliseconds tolerated_age, bool from_primary)
{
    if (reply.outcome() != proto::DATABASE_OK)
    {
        return false;
    }
    if (has_token ? !covers(reply.point(), token) : !from_primary)
    {
        return false;
    }
    return tolerated_age <= milliseconds::zero() ||
           reply.age_ms() <= to_ms(tolerated_age);
}

} // namespace tanagerhoist

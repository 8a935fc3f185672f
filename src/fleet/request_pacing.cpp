#include "tanagerhoist/fleet/request_pacing.hpp"

namespace tanagerhoist
{
namespace
{

constexpr milliseconds min_request_interval{4};

// Time after which an unanswered request is repeated: it doubles with each.
constexpr milliseconds first_grant_timeout{60};
constexpr milliseconds longest_grant_timeout{480};

} // namespace

moment request_pacing::next_request() const
{
    auto timeout = first_grant_timeout;
    for (unsigned i = 1; i < unanswered_ && timeout < longest_grant_timeout;
         ++i)
    {
        timeout *= 2;
    }
    return last_message_ + (unanswered_ == 0 ? min_request_interval : timeout);
}

} // namespace tanagerhoist

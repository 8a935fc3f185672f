#include "tanagerhoist/fleet/request_pacing.hpp"

namespace tanagerhoist
{
namespace
{

constexpr milliseconds min_request_interval{4};

/// Time after which an unanswered request is repeated.
constexpr milliseconds grant_timeout{60};

} // namespace

moment request_pacing::next_request() const
{
    return last_message_ +
           (awaiting_answer_ ? grant_timeout : min_request_interval);
}

} // namespace tanagerhoist

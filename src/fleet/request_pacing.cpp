#include "tanagerhoist/fleet/request_pacing.hpp"

namespace tanagerhoist
{
namespace
{

constexpr milliseconds min_request_interval{4};

/// Time after which an unanswered request is repeated.
constexpr milliseconds grant_timeout{60};

} // namespace

bool request_pacing::may_request(moment now) const
{
    const auto pause = awaiting_answer_ ? grant_timeout : min_request_interval;
    return now >= last_message_ + pause;
}

} // namespace tanagerhoist

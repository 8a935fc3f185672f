#include "tanagerhoist/session/server_pace.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

constexpr double step = 0.1;

/// A window without statements tells little.
constexpr double step_unseen = 0.02;

constexpr double bad_part = 0.1;
constexpr double bad_slowness = 2;

bool is_bad(const pace_window& window)
{
    return window.failed > bad_part * (window.answered + window.failed) ||
           window.slowness_sum > bad_slowness * window.timed;
}

} // namespace

void server_pace::note(const pace_window& window)
{
    const bool seen = window.answered + window.failed > 0;
    share_ = seen && is_bad(window)
                 ? std::max(least, share_ / 2)
                 : std::min(1.0, share_ + (seen ? step : step_unseen));
}

} // namespace tanagerhoist

#include "tanagerhoist/session/second_try.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Nearly all answers come within this part's time, times the margin.
constexpr double nearly_all = 0.99;
constexpr double margin = 2;

/// A missing answer alone, while others come, must be later by this.
constexpr double margin_of_one = 2;

/// Never earlier: delays of the network pass within it.
constexpr milliseconds shortest_delay{150};

/// A second try is answered in time by this part's time, after a connection has
/// been opened.
constexpr double most = 0.9;
constexpr milliseconds opening_time{50};

microseconds scaled(microseconds time, double factor)
{
    return microseconds(static_cast<microseconds::rep>(
        static_cast<double>(time.count()) * factor));
}

} // namespace

bool is_second_try_due(moment now, const overdue_read& read,
                       const answer_times& times)
{
    const auto late = times.quantile(nearly_all);
    const auto second = times.quantile(most);
    if (!late || !second || now + opening_time + *second >= read.expires)
    {
        return false;
    }
    const auto delay = std::max<microseconds>(
        shortest_delay, scaled(*late, margin * std::max(1.0, read.slowness)));
    const auto silent_since = std::max(read.sent, read.last_contact);
    return now >= silent_since + delay ||
           now >= read.sent + scaled(delay, margin_of_one);
}

void second_try_budget::add_statement()
{
    left_ = std::min(most, left_ + share);
}

bool second_try_budget::take()
{
    if (left_ < 1)
    {
        return false;
    }
    left_ -= 1;
    return true;
}

} // namespace tanagerhoist

#ifndef TANAGERHOIST_SESSION_REPEAT_WATCH_HPP
#define TANAGERHOIST_SESSION_REPEAT_WATCH_HPP

#include "tanagerhoist/core/time.hpp"

#include <algorithm>

namespace tanagerhoist
{

/// Whether a server has repeated answers of late, and how late they came. Its
/// idle connections then rest before their next use, so that a repeated answer
/// meets no statement.
class repeat_watch
{
public:
    /// Notes an answer that came again.
    /// @param late time since the connection's last answer
    void note(moment now, microseconds late)
    {
        longest_ = repeats(now) ? std::max(longest_, late) : late;
        noted_ = now;
        seen_ = true;
    }

    /// Whether an answer came again within `memory`.
    bool repeats(moment now) const { return seen_ && now < noted_ + memory; }

    /// How long a connection rests after an answer. Nothing if the server does
    /// not repeat answers.
    microseconds rest(moment now) const
    {
        return repeats(now) ? std::clamp<microseconds>(
                                  2 * longest_, shortest_rest, longest_rest)
                            : microseconds(0);
    }

private:
    static constexpr std::chrono::seconds memory{30};
    static constexpr milliseconds shortest_rest{20};
    static constexpr milliseconds longest_rest{300};

    bool seen_ = false;
    moment noted_{};
    microseconds longest_{0};
};

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_SESSION_CLIENT_DEADLINES_HPP
#define TANAGERHOIST_SESSION_CLIENT_DEADLINES_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/close_cause.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace tanagerhoist
{

/// Time limits of one client for what it has begun: a session, a line, or to
/// accept an answer. The time for a line or an answer begins again with each
/// `progress_step` of it, so that a slow link is no cause to close. A client
/// that rests between statements has no limit.
class client_deadlines
{
public:
    static constexpr std::size_t progress_step = std::size_t{64} << 10U;

    explicit client_deadlines(moment accepted) : accepted_(accepted) {}

    /// Notes that the client has started a session.
    void note_start() { started_ = true; }

    /// @param unfinished bytes of a line that has begun and not ended, while
    ///   the client may send; 0: none
    void note_input(moment now, std::size_t unfinished)
    {
        note(input_, unfinished, now);
    }

    /// @param unsent bytes of answers that have not been accepted; 0: none
    void note_output(moment now, std::size_t unsent)
    {
        note(output_, unsent, now);
    }

    /// Why the client is to be closed; nothing if it is within its limits.
    /// @param timeout for each of the three
    std::optional<close_cause> overdue(moment now, milliseconds timeout) const
    {
        const auto passed = [&](const std::optional<mark>& last)
        { return last && now >= last->since + timeout; };
        if (passed(output_))
        {
            return close_cause::answer_timeout;
        }
        if (!started_ && now >= accepted_ + timeout)
        {
            return close_cause::start_timeout;
        }
        return passed(input_) ? std::optional(close_cause::line_timeout)
                              : std::nullopt;
    }

private:
    /// Since when less than a step was done, and the bytes at that time.
    struct mark
    {
        moment since;
        std::size_t bytes = 0;
    };

    static void note(std::optional<mark>& last, std::size_t bytes, moment now)
    {
        if (bytes == 0)
        {
            last.reset();
            return;
        }
        const auto before = last ? last->bytes : 0;
        const auto done = std::max(bytes, before) - std::min(bytes, before);
        if (!last || done >= progress_step)
        {
            last = mark{now, bytes};
        }
    }

    moment accepted_;
    bool started_ = false;
    std::optional<mark> input_;  ///< a line has begun
    std::optional<mark> output_; ///< an answer is not accepted
};

} // namespace tanagerhoist

#endif

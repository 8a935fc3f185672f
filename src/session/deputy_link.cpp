#include "tanagerhoist/session/deputy_link.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Time within which a deputy answers.
constexpr milliseconds answer_timeout{150};

/// Unanswered messages after which a deputy is passed over.
constexpr unsigned most_unanswered = 2;

/// Interval of messages while statements are held: this per VM of the fleet,
/// between the shortest and that of messages without held ones.
constexpr milliseconds interval_per_vm{1};
constexpr milliseconds shortest_interval{20};

/// After which deputies that have not answered are asked again.
constexpr milliseconds retry_interval{1000};

} // namespace

void deputy_link::use_deputies(std::size_t count)
{
    count_ = count;
    reset();
}

void deputy_link::use_members(std::size_t members)
{
    held_interval_ =
        std::clamp(interval_per_vm * static_cast<milliseconds::rep>(members),
                   shortest_interval, handover_interval);
}

void deputy_link::reset()
{
    index_ = 0;
    unanswered_ = 0;
    answering_ = false;
    answered_now_ = false;
    all_silent_ = false;
}

bool deputy_link::is_expected(moment now) const
{
    return count_ != 0 && (!all_silent_ || is_due(now, true));
}

bool deputy_link::is_due(moment now, bool holds) const
{
    if (count_ == 0)
    {
        return false;
    }
    if (all_silent_)
    {
        return now >= sent_ + retry_interval;
    }
    if (unanswered_ != 0)
    {
        return now >= sent_ + answer_timeout;
    }
    return answered_now_ || !answering_ ||
           now >= sent_ + (holds ? held_interval_ : handover_interval);
}

void deputy_link::sent(moment now, std::uint64_t sequence)
{
    answering_ = answering_ && unanswered_ == 0;
    if (unanswered_ >= most_unanswered || all_silent_)
    {
        const bool last = index_ + 1 >= count_;
        index_ = last ? 0 : index_ + 1;
        unanswered_ = 0;
        all_silent_ = last || all_silent_;
    }
    ++unanswered_;
    answered_now_ = false;
    sent_ = now;
    sent_sequence_ = sequence;
}

bool deputy_link::use_answer(std::uint64_t sequence)
{
    if (sequence <= answered_sequence_ || sequence > sent_sequence_)
    {
        return false;
    }
    answered_sequence_ = sequence;
    if (sequence == sent_sequence_)
    {
        answered_now_ = !answering_;
        answering_ = true;
        unanswered_ = 0;
        all_silent_ = false;
    }
    return true;
}

} // namespace tanagerhoist

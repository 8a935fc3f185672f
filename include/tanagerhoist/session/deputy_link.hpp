#ifndef TANAGERHOIST_SESSION_DEPUTY_LINK_HPP
#define TANAGERHOIST_SESSION_DEPUTY_LINK_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/coordinator_times.hpp"

#include <cstddef>
#include <cstdint>

namespace tanagerhoist
{

/// Interval of messages to a deputy while no statements are held: one follows
/// each report.
constexpr milliseconds handover_interval = report_interval;

/// Which deputy a VM without a coordinator asks, and when. Operations are sent
/// only to a deputy that has answered the message before; one that does not
/// answer two messages is passed over. If none answers, the first is asked
/// again after a while.
class deputy_link
{
public:
    /// Sets the number of deputies.
    void use_deputies(std::size_t count);

    /// Sets the number of VMs, which all may ask the same deputy.
    void use_members(std::size_t members);

    /// Begins anew with the first deputy: the coordinator was heard.
    void reset();

    /// Index of the deputy to be asked.
    std::size_t index() const { return index_; }

    /// Whether the deputy has answered a message, and is not silent since.
    bool is_answering() const { return answering_; }

    /// Whether the deputy has answered the last message, so that operations may
    /// be sent to it.
    bool takes_operations() const { return answering_ && unanswered_ == 0; }

    /// Whether an answer can be expected soon.
    bool is_expected(moment now) const;

    /// Whether to send a message now.
    /// @param holds whether statements are held
    bool is_due(moment now, bool holds) const;

    /// Notes that a message is sent now.
    void sent(moment now, std::uint64_t sequence);

    /// Notes an answer.
    /// @param sequence of the message that is answered
    /// @return false if it is a duplicate or out of date
    bool use_answer(std::uint64_t sequence);

private:
    std::size_t count_ = 0;
    milliseconds held_interval_{20}; ///< of messages while statements are held
    std::size_t index_ = 0;
    unsigned unanswered_ = 0; ///< messages to this deputy since its last answer
    bool answering_ = false;
    bool answered_now_ = false; ///< the first answer, so operations may be sent
    bool all_silent_ = false;   ///< no deputy has answered
    std::uint64_t sent_sequence_ = 0;
    std::uint64_t answered_sequence_ = 0;
    moment sent_{}; ///< last message
};

} // namespace tanagerhoist

#endif

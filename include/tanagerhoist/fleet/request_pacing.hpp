#ifndef TANAGERHOIST_FLEET_REQUEST_PACING_HPP
#define TANAGERHOIST_FLEET_REQUEST_PACING_HPP

#include "tanagerhoist/core/time.hpp"

namespace tanagerhoist
{

/// When a VM may request grants from the coordinator: one request at a time,
/// not right after another message to it, and ever later while requests are not
/// answered.
class request_pacing
{
public:
    /// Notes that a report or a request is sent.
    void message_sent(moment now) { last_message_ = now; }

    /// Notes that the message just sent is a request.
    void request_sent() { ++unanswered_; }

    void answered() { unanswered_ = 0; }

    /// Earliest time of the next request. It changes with each message, so it
    /// must be asked again after an answer.
    moment next_request() const;

private:
    unsigned unanswered_ = 0; ///< requests since the last answer
    moment last_message_{};
};

} // namespace tanagerhoist

#endif

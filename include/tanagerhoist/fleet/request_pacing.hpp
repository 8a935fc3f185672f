#ifndef TANAGERHOIST_FLEET_REQUEST_PACING_HPP
#define TANAGERHOIST_FLEET_REQUEST_PACING_HPP

#include "tanagerhoist/core/time.hpp"

namespace tanagerhoist
{

/// When a VM may request grants from the coordinator: one request at a time,
/// and not right after another message to it.
class request_pacing
{
public:
    /// Notes that a report or a request is sent.
    void message_sent(moment now) { last_message_ = now; }

    /// Notes that the message just sent is a request.
    void request_sent() { awaiting_answer_ = true; }

    void answered() { awaiting_answer_ = false; }

    /// Earliest time of the next request. It changes with each message, so it
    /// must be asked again after an answer.
    moment next_request() const;

private:
    bool awaiting_answer_ = false;
    moment last_message_{};
};

} // namespace tanagerhoist

#endif

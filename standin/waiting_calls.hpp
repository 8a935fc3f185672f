#ifndef TANAGERHOIST_STANDIN_WAITING_CALLS_HPP
#define TANAGERHOIST_STANDIN_WAITING_CALLS_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

/// Status calls of a simulation that are answered once their server holds the
/// log point, has sealed the term, or the wait is over.
class waiting_calls
{
public:
    using answer_handler = std::function<void(const proto::DatabaseReply&)>;

    /// What a server answers to a call now; empty if it is stopped.
    using server_reply = std::function<std::optional<proto::DatabaseReply>(
        const std::string& server, const proto::DatabaseCall& call)>;

    /// @param until end of the wait
    void add(const std::string& server, const proto::DatabaseCall& call,
             moment until, answer_handler answer);

    /// Answers the calls that need not wait any longer. A stopped server drops
    /// its calls.
    void answer(moment now, const server_reply& reply_of);

private:
    struct waiting_call
    {
        std::string server;
        proto::DatabaseCall call;
        moment until;
        answer_handler answer;
    };

    std::vector<waiting_call> waiting_;
};

} // namespace tanagerhoist::standin

#endif

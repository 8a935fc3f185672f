#include "standin/waiting_calls.hpp"

#include <utility>

namespace tanagerhoist::standin
{

void waiting_calls::add(const std::string& server,
                        const proto::DatabaseCall& call, moment until,
                        answer_handler answer)
{
    waiting_.push_back({server, call, until, std::move(answer)});
}

void waiting_calls::answer(moment now, const server_reply& reply_of)
{
    auto waiting = std::exchange(waiting_, {});
    for (auto& each : waiting)
    {
        const auto reply = reply_of(each.server, each.call);
        if (!reply)
        {
            continue;
        }
        const auto& status = reply->status();
        const bool sealed =
            status.sealed_term() > each.call.status().await().term();
        if (status.holds() || sealed || now >= each.until)
        {
            each.answer(*reply);
        }
        else
        {
            waiting_.push_back(std::move(each));
        }
    }
}

} // namespace tanagerhoist::standin

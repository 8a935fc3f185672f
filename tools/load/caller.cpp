#include "caller.hpp"

#include "tanagerhoist/adapter/json_codec.hpp"

#include <utility>

namespace tanagerhoist::load
{

caller::caller(boost::asio::io_context& context) : context_(context) {}

std::optional<proto::CallerReply>
caller::ask(const endpoint& daemon, const std::string& key,
            const proto::CallerRequest& request, milliseconds timeout)
{
    const auto authorization =
        key.empty() ? std::string() : std::string("Bearer ") + key;
    const auto answer = exchange(
        daemon, {"POST", "/v1/request", authorization, to_json(request)},
        timeout);
    proto::CallerReply reply;
    if (!answer || !from_json(answer->body, reply))
    {
        return std::nullopt;
    }
    return reply;
}

std::optional<http_answer> caller::exchange(const endpoint& to,
                                            const http_request& request,
                                            milliseconds timeout)
{
    auto stream = take(to, timeout);
    if (!stream)
    {
        return std::nullopt;
    }
    bool sent = false;
    auto answer = stream->exchange(request, timeout, sent);
    if (stream->is_open())
    {
        idle_[to.port].push_back(std::move(stream));
    }
    return answer;
}

caller::stream_ptr caller::take(const endpoint& to, milliseconds timeout)
{
    auto& kept = idle_[to.port];
    if (!kept.empty())
    {
        auto stream = std::move(kept.back());
        kept.pop_back();
        return stream;
    }
    auto stream = std::make_unique<http_client_stream>(context_);
    return stream->connect(to.address, to.port, timeout) ? std::move(stream)
                                                         : nullptr;
}

} // namespace tanagerhoist::load

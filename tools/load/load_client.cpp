#include "load_client.hpp"

#include "tanagerhoist/adapter/json_codec.hpp"

#include <utility>

namespace tanagerhoist::load
{

load_client::load_client(boost::asio::io_context& context) : context_(context)
{
}

std::optional<proto::CallerReply>
load_client::send(const endpoint& daemon, const std::string& key,
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

std::optional<http_answer> load_client::exchange(const endpoint& to,
                                                 const http_request& request,
                                                 milliseconds timeout)
{
    auto stream = open_stream(to, timeout);
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

load_client::stream_ptr load_client::open_stream(const endpoint& to,
                                                 milliseconds timeout)
{
    auto& idle = idle_[to.port];
    while (!idle.empty())
    {
        auto stream = std::move(idle.back());
        idle.pop_back();
        if (stream->is_open())
        {
            return stream;
        }
    }
    auto stream = std::make_unique<http_client_stream>(context_);
    return stream->connect(to.address, to.port, timeout) ? std::move(stream)
                                                         : nullptr;
}

} // namespace tanagerhoist::load

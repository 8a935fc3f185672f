#include "tanagerhoist/adapter/call_lines.hpp"

#include "tanagerhoist/adapter/json_codec.hpp"

#include <boost/fiber/fiber.hpp>

#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr milliseconds connect_timeout{1000};
constexpr std::size_t idle_limit = 4; // shared connections kept per server
constexpr const char* call_target = "/call";

} // namespace

call_lines::call_lines(boost::asio::io_context& context, input_sink inputs)
    : context_(context), inputs_(std::move(inputs))
{
}

call_lines::~call_lines() = default;

// A fiber that runs a call shares the stream with the table, so that a close
// from the decision layer in the middle of the call is safe.
call_lines::stream_ptr call_lines::find(std::uint64_t connection) const
{
    const auto it = numbered_.find(connection);
    return it == numbered_.end() ? nullptr : it->second;
}

void call_lines::open(std::uint64_t connection, const remote_address& where)
{
    auto stream = std::make_shared<http_client_stream>(context_);
    numbered_[connection] = stream;
    launch(
        [this, connection, where, stream]
        {
            if (!stream->connect(where.ip, where.port, connect_timeout))
            {
                lost(connection);
                return;
            }
            proto::Input input;
            input.mutable_connection_opened()->set_connection(connection);
            inputs_(std::move(input));
        });
}

void call_lines::launch(std::function<void()> task)
{
    ++active_;
    boost::fibers::fiber(
        [this, task = std::move(task)]
        {
            task();
            --active_;
        })
        .detach();
}

void call_lines::close_all()
{
    closed_ = true;
    for (const auto& [connection, stream] : numbered_)
    {
        stream->close();
    }
    for (const auto& stream : in_call_)
    {
        stream->close();
    }
    idle_.clear();
}

void call_lines::close(std::uint64_t connection)
{
    if (const auto stream = find(connection))
    {
        stream->close();
        numbered_.erase(connection);
    }
}

void call_lines::lost(std::uint64_t connection)
{
    numbered_.erase(connection);
    proto::Input input;
    input.mutable_connection_closed()->set_connection(connection);
    inputs_(std::move(input));
}

call_lines::stream_ptr call_lines::shared_stream(const remote_address& where,
                                                 milliseconds timeout)
{
    auto& idle = idle_[where];
    if (!idle.empty())
    {
        auto stream = std::move(idle.back());
        idle.pop_back();
        return stream;
    }
    auto stream = std::make_shared<http_client_stream>(context_);
    in_call_.insert(stream);
    const bool connected = stream->connect(where.ip, where.port,
                                           std::min(timeout, connect_timeout));
    in_call_.erase(stream);
    return connected ? stream : nullptr;
}

void call_lines::give_back(const remote_address& where, stream_ptr stream)
{
    auto& idle = idle_[where];
    if (stream->is_open() && idle.size() < idle_limit)
    {
        idle.push_back(std::move(stream));
    }
}

std::optional<std::string> call_lines::post(std::uint64_t connection,
                                            const remote_address& where,
                                            const std::string& body,
                                            milliseconds timeout, bool& sent)
{
    auto stream =
        connection == 0 ? shared_stream(where, timeout) : find(connection);
    if (!stream || closed_)
    {
        return std::nullopt;
    }
    in_call_.insert(stream);
    auto answer = stream->post(call_target, body, timeout, sent);
    in_call_.erase(stream);
    if (connection == 0)
    {
        give_back(where, std::move(stream));
    }
    else if (!stream->is_open() && find(connection) == stream)
    {
        lost(connection);
    }
    return answer;
}

void call_lines::call_database(const proto::CallDatabase& call,
                               const remote_address& where)
{
    launch(
        [this, call, where]
        {
            bool sent = false;
            const auto answer =
                post(call.connection(), where, to_json(call.call()),
                     milliseconds(call.timeout_ms()), sent);
            proto::Input input;
            auto& answered = *input.mutable_database_answered();
            answered.set_tag(call.tag());
            if (!answer || !from_json(*answer, *answered.mutable_reply()))
            {
                auto& failed = *input.mutable_database_failed();
                failed.set_tag(call.tag());
                failed.set_sent(sent);
            }
            inputs_(std::move(input));
        });
}

void call_lines::call_platform(const proto::CallPlatform& call,
                               const remote_address& where)
{
    launch(
        [this, call, where]
        {
            bool sent = false;
            const auto answer = post(0, where, to_json(call.call()),
                                     milliseconds(call.timeout_ms()), sent);
            proto::Input input;
            auto& answered = *input.mutable_platform_answered();
            answered.set_tag(call.tag());
            if (!answer || !from_json(*answer, *answered.mutable_reply()))
            {
                input.mutable_platform_failed()->set_tag(call.tag());
            }
            inputs_(std::move(input));
        });
}

} // namespace tanagerhoist

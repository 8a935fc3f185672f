#include "tanagerhoist/adapter/outbound_connections.hpp"

#include "tanagerhoist/adapter/json_codec.hpp"

#include <boost/fiber/fiber.hpp>

#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr milliseconds connect_timeout{1000};
constexpr std::size_t max_idle_streams = 4; // pooled connections per server
constexpr const char* call_path = "/call";

} // namespace

outbound_connections::outbound_connections(boost::asio::io_context& context,
                                           input_sink inputs)
    : context_(context), inputs_(std::move(inputs))
{
}

outbound_connections::~outbound_connections() = default;

// Shares ownership of the stream with the fiber that runs a call, so that the
// decision layer may close the connection during the call.
outbound_connections::stream_ptr
outbound_connections::find(std::uint64_t connection) const
{
    const auto it = numbered_streams_.find(connection);
    return it == numbered_streams_.end() ? nullptr : it->second;
}

void outbound_connections::open(std::uint64_t connection,
                                const remote_address& where)
{
    auto stream = std::make_shared<http_client_stream>(context_);
    numbered_streams_[connection] = stream;
    start_fiber(
        [this, connection, where, stream]
        {
            if (!stream->connect(where.ip, where.port, connect_timeout))
            {
                report_closed(connection);
                return;
            }
            proto::Input input;
            input.mutable_connection_opened()->set_connection(connection);
            inputs_(std::move(input));
        });
}

void outbound_connections::start_fiber(std::function<void()> task)
{
    ++active_fibers_;
    boost::fibers::fiber(
        [this, task = std::move(task)]
        {
            task();
            --active_fibers_;
        })
        .detach();
}

void outbound_connections::close_all()
{
    closed_ = true;
    for (const auto& [connection, stream] : numbered_streams_)
    {
        stream->close();
    }
    for (const auto& stream : busy_streams_)
    {
        stream->close();
    }
    idle_streams_.clear();
}

void outbound_connections::close(std::uint64_t connection)
{
    if (const auto stream = find(connection))
    {
        stream->close();
        numbered_streams_.erase(connection);
    }
}

void outbound_connections::report_closed(std::uint64_t connection)
{
    numbered_streams_.erase(connection);
    proto::Input input;
    input.mutable_connection_closed()->set_connection(connection);
    inputs_(std::move(input));
}

outbound_connections::stream_ptr
outbound_connections::acquire_stream(const remote_address& where,
                                     milliseconds timeout)
{
    auto& idle = idle_streams_[where];
    while (!idle.empty())
    {
        auto stream = std::move(idle.back());
        idle.pop_back();
        if (stream->is_open())
        {
            return stream;
        }
    }
    auto stream = std::make_shared<http_client_stream>(context_);
    busy_streams_.insert(stream);
    const bool connected = stream->connect(where.ip, where.port,
                                           std::min(timeout, connect_timeout));
    busy_streams_.erase(stream);
    return connected ? stream : nullptr;
}

void outbound_connections::release_stream(const remote_address& where,
                                          stream_ptr stream)
{
    auto& idle = idle_streams_[where];
    if (stream->is_open() && idle.size() < max_idle_streams)
    {
        idle.push_back(std::move(stream));
    }
}

std::optional<std::string>
outbound_connections::post(std::uint64_t connection,
                           const remote_address& where, const std::string& body,
                           milliseconds timeout, bool& sent)
{
    auto stream =
        connection == 0 ? acquire_stream(where, timeout) : find(connection);
    if (!stream || closed_)
    {
        return std::nullopt;
    }
    busy_streams_.insert(stream);
    auto answer = stream->post(call_path, body, timeout, sent);
    busy_streams_.erase(stream);
    if (connection == 0)
    {
        release_stream(where, std::move(stream));
    }
    else if (!stream->is_open() && find(connection) == stream)
    {
        report_closed(connection);
    }
    return answer;
}

void outbound_connections::call_database(const proto::CallDatabase& call,
                                         const remote_address& where)
{
    start_fiber(
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

void outbound_connections::call_platform(const proto::CallPlatform& call,
                                         const remote_address& where)
{
    start_fiber(
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

#ifndef TANAGERHOIST_ADAPTER_OUTBOUND_CONNECTIONS_HPP
#define TANAGERHOIST_ADAPTER_OUTBOUND_CONNECTIONS_HPP

#include "messages.pb.h"
#include "tanagerhoist/adapter/http_stream.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace tanagerhoist
{

/// Where a server listens.
struct remote_address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator<(const remote_address& other) const
    {
        return std::tie(ip, port) < std::tie(other.ip, other.port);
    }
};

/// Outgoing calls of one worker: statements on the connections that the
/// decision layer has numbered, and control and platform calls on connections
/// that are shared between calls. All members run on the worker's thread.
class outbound_connections
{
public:
    /// Takes answers and failures as inputs of the decision layer.
    using input_sink = std::function<void(proto::Input)>;

    outbound_connections(boost::asio::io_context& context, input_sink inputs);
    ~outbound_connections();

    /// Opens a numbered connection; ConnectionOpened or ConnectionClosed
    /// follows.
    void open(std::uint64_t connection, const remote_address& where);

    /// Closes a numbered connection; its call, if one runs, fails.
    void close(std::uint64_t connection);

    /// Calls a database on a numbered connection, or on a shared one if it is
    /// 0; DatabaseAnswered or DatabaseFailed follows.
    void call_database(const proto::CallDatabase& call,
                       const remote_address& where);

    /// Calls the platform; PlatformAnswered or PlatformFailed follows.
    void call_platform(const proto::CallPlatform& call,
                       const remote_address& where);

    /// Fails every call and connection, now and from now on.
    void close_all();

    /// Fibers that still run a call or open a connection. The worker's thread
    /// may end only when there are none: nothing would wake them.
    std::size_t active_fibers() const { return active_fibers_; }

private:
    using stream_ptr = std::shared_ptr<http_client_stream>;

    stream_ptr acquire_stream(const remote_address& where,
                              milliseconds timeout);
    void release_stream(const remote_address& where, stream_ptr stream);
    stream_ptr find(std::uint64_t connection) const;
    std::optional<std::string> post(std::uint64_t connection,
                                    const remote_address& where,
                                    const std::string& body,
                                    milliseconds timeout, bool& sent);
    void report_closed(std::uint64_t connection);
    void start_fiber(std::function<void()> task);

    boost::asio::io_context& context_;
    input_sink inputs_;
    bool closed_ = false;
    std::size_t active_fibers_ = 0;
    std::set<stream_ptr> busy_streams_; ///< shared streams with a call
    std::map<std::uint64_t, stream_ptr> numbered_streams_;
    std::map<remote_address, std::vector<stream_ptr>> idle_streams_;
};

} // namespace tanagerhoist

#endif

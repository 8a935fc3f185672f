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

/// Address on which a server listens.
struct remote_address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator<(const remote_address& other) const
    {
        return std::tie(ip, port) < std::tie(other.ip, other.port);
    }
};

/// Outgoing calls of one worker thread. Statements use connections numbered by
/// the decision layer; control and platform calls share a pool of connections
/// per server. All members must be called on the worker's thread.
class outbound_connections
{
public:
    /// Receives replies and failures as inputs of the decision layer.
    using input_sink = std::function<void(proto::Input)>;

    outbound_connections(boost::asio::io_context& context, input_sink inputs);
    ~outbound_connections();

    /// Opens a numbered connection. Results in a ConnectionOpened or
    /// ConnectionClosed input.
    void open(std::uint64_t connection, const remote_address& where);

    /// Closes a numbered connection; a call in progress on it fails.
    void close(std::uint64_t connection);

    /// Calls a database on a numbered connection, or on a pooled one if the
    /// number is 0. Results in a DatabaseAnswered or DatabaseFailed input.
    void call_database(const proto::CallDatabase& call,
                       const remote_address& where);

    /// Calls the platform. Results in a PlatformAnswered or PlatformFailed
    /// input.
    void call_platform(const proto::CallPlatform& call,
                       const remote_address& where);

    /// Closes all connections and fails all calls, including later ones.
    void close_all();

    /// Number of fibers that run a call or open a connection. The worker's
    /// thread may end only when it is 0, since nothing would resume the fibers
    /// after that.
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
    std::set<stream_ptr> busy_streams_; ///< streams with a call in progress
    std::map<std::uint64_t, stream_ptr> numbered_streams_;
    std::map<remote_address, std::vector<stream_ptr>> idle_streams_;
};

} // namespace tanagerhoist

#endif

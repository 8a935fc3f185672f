#ifndef TANAGERHOIST_ADAPTER_HTTP_STREAM_HPP
#define TANAGERHOIST_ADAPTER_HTTP_STREAM_HPP

#include "tanagerhoist/core/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist
{

/// What became of reading a request from a caller.
enum class read_status
{
    complete,  ///< a request is there
    closed,    ///< the caller ended the connection between requests
    malformed, ///< not HTTP
    too_large, ///< above the size limit
    timed_out  ///< did not arrive whole in time
};

/// One HTTP request as it came from a caller.
struct http_request
{
    std::string method;
    std::string target;
    std::string authorization; ///< value of that header, empty if absent
    std::string body;
    bool keep_alive = true;
    /// Further headers to be sent.
    std::vector<std::pair<std::string, std::string>> headers{};
};

/// One HTTP answer.
struct http_answer
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/// Server side of one HTTP/1.1 connection. All members but `wait_readable` and
/// `close` suspend the calling fiber.
class http_server_stream
{
public:
    explicit http_server_stream(boost::asio::ip::tcp::socket socket);
    ~http_server_stream();
    http_server_stream(const http_server_stream&) = delete;
    http_server_stream& operator=(const http_server_stream&) = delete;

    /// Calls `ready` once bytes, or the end of the connection, have come. No
    /// fiber is bound meanwhile. False means that the connection has failed.
    void wait_readable(std::function<void(bool)> ready);

    /// Reads one request of at most `limit` bytes of body within `timeout`.
    read_status read(http_request& request, std::size_t limit,
                     milliseconds timeout);

    /// Whether bytes of a further request are there already.
    bool has_buffered() const;

    /// Writes one answer within `timeout`.
    /// @return false if the connection failed
    bool write(const http_answer& answer, bool keep_alive,
               milliseconds timeout);

    /// Ends the connection; waiting operations fail.
    void close();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Client side of one HTTP/1.1 connection. `connect`, `exchange` and `post`
/// suspend the calling fiber; at most one of them runs at a time.
class http_client_stream
{
public:
    explicit http_client_stream(boost::asio::io_context& context);
    ~http_client_stream();
    http_client_stream(const http_client_stream&) = delete;
    http_client_stream& operator=(const http_client_stream&) = delete;

    /// Connects to an IP number.
    bool connect(const std::string& address, std::uint16_t port,
                 milliseconds timeout);

    /// Sends a request and waits for the whole answer, whatever its status.
    /// `keep_alive` of the request is not looked at.
    /// @param sent set to true once bytes may have left
    /// @return the answer, or nothing if there was none in time; the
    ///         connection is then closed, since a late answer could be taken
    ///         for that of a later call
    std::optional<http_answer> exchange(const http_request& request,
                                        milliseconds timeout, bool& sent);

    /// Posts `body` and waits for the whole answer.
    /// @param sent set to true once bytes may have left
    /// @return the body of an answer with status 200; the connection is closed
    ///         if there was none in time or another status
    std::optional<std::string> post(const std::string& target,
                                    const std::string& body,
                                    milliseconds timeout, bool& sent);

    bool is_open() const;
    void close();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace tanagerhoist

#endif

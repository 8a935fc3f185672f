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

/// Result of reading a request from a connection.
enum class read_status
{
    complete,  ///< a complete request was read
    closed,    ///< the peer closed the connection between requests
    malformed, ///< not HTTP
    too_large, ///< above a size limit
    timed_out  ///< not complete within the timeout
};

/// One HTTP request, received or to be sent.
struct http_request
{
    std::string method;
    std::string target;
    std::string authorization; ///< value of the header, empty if absent
    std::string body;
    bool keep_alive = true;
    /// Additional headers of an outgoing request.
    std::vector<std::pair<std::string, std::string>> headers{};
    /// Name of the response's header that the sender needs; empty: none.
    std::string wanted_header{};
};

/// One HTTP response.
struct http_answer
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::string header{}; ///< value of the wanted header, empty if absent
};

/// Server side of one HTTP/1.1 connection. `read` and `write` suspend the
/// calling fiber.
class http_server_stream
{
public:
    explicit http_server_stream(boost::asio::ip::tcp::socket socket);
    ~http_server_stream();
    http_server_stream(const http_server_stream&) = delete;
    http_server_stream& operator=(const http_server_stream&) = delete;

    /// Calls `ready` once the connection is readable or closed by the peer,
    /// without occupying a fiber meanwhile.
    /// @param ready called with false if the wait failed
    void wait_readable(std::function<void(bool)> ready);

    /// Reads one request with a body of at most `limit` bytes within `timeout`.
    read_status read(http_request& request, std::size_t limit,
                     milliseconds timeout);

    /// Whether bytes of a further request have been received already.
    bool has_buffered() const;

    /// Writes one response within `timeout`.
    /// @return false if the connection failed
    bool write(const http_answer& answer, bool keep_alive,
               milliseconds timeout);

    /// Closes the connection; pending operations fail.
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

    /// Connects to an IP address.
    /// @return false if the address is invalid or the connection failed
    bool connect(const std::string& address, std::uint16_t port,
                 milliseconds timeout);

    /// Sends a request and waits for the complete response, whatever its
    /// status. Ignores `keep_alive` of the request.
    /// @param sent set to true once bytes may have been sent
    /// @return the response, or nothing if none arrived in time, or if bytes
    ///         followed it; the connection is then closed, since a late or
    ///         repeated response could be mistaken for that of a later request
    std::optional<http_answer> exchange(const http_request& request,
                                        milliseconds timeout, bool& sent);

    /// Like exchange(), for responses that may be large: `timeout` ends with
    /// the response's header. Its body may take longer on a busy link, as long
    /// as no pause in it exceeds `longest_pause`, and 10 s in all. A read that
    /// is given up and repeated from its beginning would keep the link busy.
    std::optional<http_answer> download(const http_request& request,
                                        milliseconds timeout,
                                        milliseconds longest_pause, bool& sent);

    /// Posts `body` and waits for the complete response.
    /// @param sent set to true once bytes may have been sent
    /// @return the body of a response with status 200, or nothing; the
    ///         connection is closed if no response arrived in time or it had
    ///         another status
    std::optional<std::string> post(const std::string& target,
                                    const std::string& body,
                                    milliseconds timeout, bool& sent);

    /// Discards what the peer has not acknowledged within `time` after it was
    /// sent, or when the connection is closed, instead of delivering it late.
    /// For the open connection only.
    void limit_delivery(milliseconds time);

    /// Whether a request can be sent: the connection is open, and neither the
    /// peer's close nor bytes that no request asked for wait on it. Not to be
    /// asked during a call.
    bool is_open() const;
    void close();

private:
    struct state;

    bool send(const http_request& request, milliseconds timeout);
    template <class Parser>
    bool read_header(std::optional<Parser>& parser);
    template <class Parser>
    std::optional<http_answer> finish(const http_request& request,
                                      std::optional<Parser>& parser,
                                      bool complete);

    std::unique_ptr<state> state_;
};

} // namespace tanagerhoist

#endif

#include "tanagerhoist/adapter/http_stream.hpp"

#include "tanagerhoist/adapter/fiber_await.hpp"
#include "tanagerhoist/adapter/silent_socket.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int http_version = 11;
constexpr std::size_t max_header_size = std::size_t{8} * 1024; // bytes
// In bytes.
constexpr std::uint64_t max_answer_body = std::uint64_t{64} * 1024 * 1024;
constexpr unsigned http_ok = 200; ///< lower ones precede a response

/// Longest time that the body of a download may take.
constexpr milliseconds longest_download{10000};

/// Cancels a stream's pending read after a timeout. Unlike the stream's own
/// timeout it leaves the connection open, so that an error response can still
/// be written.
class read_deadline
{
public:
    read_deadline(beast::tcp_stream& stream, milliseconds time)
        : timer_(stream.get_executor(), time),
          timed_out_(std::make_shared<bool>(false))
    {
        timer_.async_wait(
            [&stream,
             weak_flag = std::weak_ptr<bool>(timed_out_)](error_code error)
            {
                const auto flag = weak_flag.lock(); // null: read has ended
                if (!error && flag)
                {
                    *flag = true;
                    stream.cancel();
                }
            });
    }

    bool timed_out() const { return *timed_out_; }

private:
    asio::steady_timer timer_;
    std::shared_ptr<bool> timed_out_;
};

read_status status_of(const error_code& error, bool has_bytes)
{
    if (error == http::error::end_of_stream)
    {
        return read_status::closed;
    }
    if (error == http::error::body_limit || error == http::error::header_limit)
    {
        return read_status::too_large;
    }
    const bool disconnected = error == asio::error::connection_reset ||
                              error == asio::error::operation_aborted ||
                              error == asio::error::eof;
    return disconnected && !has_bytes ? read_status::closed
                                      : read_status::malformed;
}

} // namespace

// ---- server ---------------------------------------------------------------

struct http_server_stream::state
{
    explicit state(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

http_server_stream::http_server_stream(asio::ip::tcp::socket socket)
    : state_(std::make_unique<state>(std::move(socket)))
{
    error_code ignored;
    state_->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

http_server_stream::~http_server_stream() = default;

void http_server_stream::wait_readable(std::function<void(bool)> ready)
{
    state_->buffer.shrink_to_fit(); // free the buffer of an idle connection
    state_->stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [ready = std::move(ready)](error_code error) { ready(!error); });
}

read_status http_server_stream::read(http_request& request, std::size_t limit,
                                     milliseconds timeout)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(limit);
    parser.header_limit(max_header_size);
    const read_deadline deadline(state_->stream, timeout);
    const auto error = await(
        [&](auto handler)
        {
            http::async_read(state_->stream, state_->buffer, parser,
                             std::move(handler));
        });
    if (deadline.timed_out())
    {
        return read_status::timed_out;
    }
    if (error)
    {
        return status_of(error, parser.got_some());
    }
    auto message = parser.release();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.authorization = std::string(message[http::field::authorization]);
    request.keep_alive = message.keep_alive();
    request.body = std::move(message.body());
    return read_status::complete;
}

bool http_server_stream::has_buffered() const
{
    return state_->buffer.size() > 0;
}

bool http_server_stream::write(const http_answer& answer, bool keep_alive,
                               milliseconds timeout)
{
    http::response<http::string_body> message(
        http::int_to_status(answer.status), http_version);
    message.set(http::field::content_type, answer.content_type);
    message.keep_alive(keep_alive);
    message.body() = answer.body;
    message.prepare_payload();
    state_->stream.expires_after(timeout);
    const auto error = await(
        [&](auto handler)
        { http::async_write(state_->stream, message, std::move(handler)); });
    state_->stream.expires_never();
    return !error;
}

void http_server_stream::close()
{
    error_code ignored;
    state_->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both,
                                     ignored);
    state_->stream.close();
}

// ---- client ---------------------------------------------------------------

struct http_client_stream::state
{
    explicit state(asio::io_context& context) : stream(context) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

http_client_stream::http_client_stream(asio::io_context& context)
    : state_(std::make_unique<state>(context))
{
}

http_client_stream::~http_client_stream() = default;

bool http_client_stream::connect(const std::string& address, std::uint16_t port,
                                 milliseconds timeout)
{
    error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error)
    {
        return false;
    }
    state_->buffer.clear();
    state_->stream.expires_after(timeout);
    error = await(
        [&](auto handler)
        {
            state_->stream.async_connect(asio::ip::tcp::endpoint(ip, port),
                                         std::move(handler));
        });
    state_->stream.expires_never();
    if (error)
    {
        close();
        return false;
    }
    state_->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    return true;
}

/// Sends a request. The stream's timeout goes on for the response.
bool http_client_stream::send(const http_request& request, milliseconds timeout)
{
    http::request<http::string_body> message(
        http::string_to_verb(request.method), request.target, http_version);
    message.set(http::field::host, "database");
    message.set(http::field::content_type, "application/json");
    if (!request.authorization.empty())
    {
        message.set(http::field::authorization, request.authorization);
    }
    for (const auto& [name, value] : request.headers)
    {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    state_->stream.expires_after(timeout);
    const auto error = await(
        [&](auto handler)
        { http::async_write(state_->stream, message, std::move(handler)); });
    return !error;
}

/// Ends a call: keeps the connection only after one complete response.
template <class Parser>
std::optional<http_answer>
http_client_stream::finish(const http_request& request, Parser& parser,
                           bool complete)
{
    complete = complete && parser.get().result_int() >= http_ok;
    const bool more = state_->buffer.size() != 0;
    if (!complete || more || !parser.get().keep_alive())
    {
        close();
    }
    else
    {
        state_->stream.expires_never();
    }
    if (!complete)
    {
        return std::nullopt;
    }
    auto answer = parser.release();
    std::string header;
    if (!request.wanted_header.empty())
    {
        header = std::string(answer[request.wanted_header]);
    }
    return http_answer{answer.result_int(),
                       std::string(answer[http::field::content_type]),
                       std::move(answer.body()), std::move(header)};
}

std::optional<http_answer>
http_client_stream::exchange(const http_request& request, milliseconds timeout,
                             bool& sent)
{
    sent = is_usable();
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_body);
    bool complete = sent && send(request, timeout);
    if (complete)
    {
        complete = !await(
            [&](auto handler)
            {
                http::async_read(state_->stream, state_->buffer, parser,
                                 std::move(handler));
            });
    }
    return finish(request, parser, complete);
}

std::optional<http_answer>
http_client_stream::download(const http_request& request, milliseconds timeout,
                             milliseconds longest_pause, bool& sent)
{
    using clock = std::chrono::steady_clock;
    sent = is_usable();
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_body);
    bool going = sent && send(request, timeout);
    if (going)
    {
        going = !await(
            [&](auto handler)
            {
                http::async_read_header(state_->stream, state_->buffer, parser,
                                        std::move(handler));
            });
    }
    const auto end = clock::now() + longest_download;
    while (going && !parser.is_done())
    {
        const auto next = std::min(clock::now() + longest_pause, end);
        state_->stream.expires_at(next);
        going = !await(
            [&](auto handler)
            {
                http::async_read_some(state_->stream, state_->buffer, parser,
                                      std::move(handler));
            });
    }
    return finish(request, parser, going);
}

std::optional<std::string> http_client_stream::post(const std::string& target,
                                                    const std::string& body,
                                                    milliseconds timeout,
                                                    bool& sent)
{
    auto answer = exchange({"POST", target, "", body}, timeout, sent);
    const bool succeeded = answer && answer->status == http_ok;
    if (!succeeded)
    {
        close();
        return std::nullopt;
    }
    return std::move(answer->body);
}

void http_client_stream::limit_delivery(milliseconds time)
{
    using user_timeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    auto& socket = state_->stream.socket();
    error_code error;
    socket.set_option(user_timeout(static_cast<int>(time.count())), error);
    if (!error)
    {
        // Closing resets the connection.
        socket.set_option(asio::socket_base::linger(true, 0), error);
    }
    if (error)
    {
        close(); // the next call fails and sends nothing
    }
}

bool http_client_stream::is_open() const
{
    return state_->stream.socket().is_open();
}

bool http_client_stream::is_usable()
{
    if (is_open() && !is_silent(state_->stream.socket()))
    {
        close();
    }
    return is_open();
}

void http_client_stream::close()
{
    state_->stream.close();
}

} // namespace tanagerhoist

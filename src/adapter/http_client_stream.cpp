#include "tanagerhoist/adapter/http_stream.hpp"

#include "http_idle.hpp"
#include "tanagerhoist/adapter/fiber_await.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

// The client side of a connection.
namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int http_version = 11;
// In bytes.
constexpr std::uint64_t max_answer_body = std::uint64_t{64} * 1024 * 1024;
constexpr unsigned http_ok = 200;

/// Longest time that the body of a download may take.
constexpr milliseconds longest_download{10000};

} // namespace

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
    close();
    state_->buffer.clear();
    error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error)
    {
        return false;
    }
    state_->stream.expires_after(timeout);
    error = await(
        [&](auto handler)
        {
            state_->stream.async_connect(asio::ip::tcp::endpoint(ip, port),
                                         std::move(handler));
        });
    state_->stream.expires_never();
    if (!error)
    {
        state_->stream.socket().non_blocking(true, error); // for is_open()
    }
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

/// Reads the header of the response, after those of interim ones.
template <class Parser>
bool http_client_stream::read_header(std::optional<Parser>& parser)
{
    do
    {
        parser.emplace();
        parser->body_limit(max_answer_body);
        const auto error = await(
            [&](auto handler)
            {
                http::async_read_header(state_->stream, state_->buffer, *parser,
                                        std::move(handler));
            });
        if (error)
        {
            return false;
        }
    } while (is_interim(parser->get().result_int()));
    return true;
}

/// Ends a call: keeps the connection only after a complete response. If more
/// bytes follow it, it may be the repeated answer to an earlier request, with
/// that to this one behind it.
template <class Parser>
std::optional<http_answer>
http_client_stream::finish(const http_request& request,
                           std::optional<Parser>& parser, bool complete)
{
    complete = complete && state_->buffer.size() == 0;
    if (!complete || !parser->get().keep_alive())
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
    auto answer = parser->release();
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
    sent = is_open();
    if (!sent)
    {
        close();
        return std::nullopt;
    }
    std::optional<http::response_parser<http::string_body>> parser;
    bool complete = send(request, timeout) && read_header(parser);
    if (complete)
    {
        complete = !await(
            [&](auto handler)
            {
                http::async_read(state_->stream, state_->buffer, *parser,
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
    sent = is_open();
    if (!sent)
    {
        close();
        return std::nullopt;
    }
    std::optional<http::response_parser<http::string_body>> parser;
    bool going = send(request, timeout) && read_header(parser);
    const auto end = clock::now() + longest_download;
    while (going && !parser->is_done())
    {
        const auto next = std::min(clock::now() + longest_pause, end);
        state_->stream.expires_at(next);
        going = !await(
            [&](auto handler)
            {
                http::async_read_some(state_->stream, state_->buffer, *parser,
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
    auto& socket = state_->stream.socket();
    return socket.is_open() && is_quiet(socket);
}

void http_client_stream::close()
{
    state_->stream.close();
}

} // namespace tanagerhoist

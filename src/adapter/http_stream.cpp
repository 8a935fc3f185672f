#include "tanagerhoist/adapter/http_stream.hpp"

#include "tanagerhoist/adapter/fiber_await.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <utility>

// The server side of a connection.
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

/// Whether it is certain where a request ends. The parser takes one with an
/// encoding that it doesn't know for one without a body.
bool is_length_clear(const http::request<http::string_body>& message)
{
    const auto encoding = message.find(http::field::transfer_encoding);
    return encoding == message.end() ||
           beast::iequals(encoding->value(), "chunked");
}

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

struct http_server_stream::state
{
    explicit state(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool wants_body = true; ///< false: the request's answer has only a header
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
    state_->wants_body = true;
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
    state_->wants_body = message.method() != http::verb::head;
    if (!is_length_clear(message))
    {
        return read_status::malformed;
    }
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
    if (!state_->wants_body)
    {
        message.body().clear();
    }
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

} // namespace tanagerhoist

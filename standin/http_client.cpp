#include "standin/http_client.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace tanagerhoist::standin
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// Pending asynchronous operations hold a reference to it.
class http_client::connection
    : public std::enable_shared_from_this<http_client::connection>
{
public:
    connection(boost::asio::io_context& context, tcp::endpoint server,
               milliseconds timeout)
        : stream_(context), server_(std::move(server)), timeout_(timeout)
    {
    }

    bool busy() const { return static_cast<bool>(reply_); }

    void post(const std::string& target, std::string body, reply_function reply)
    {
        reply_ = std::move(reply);
        request_ = {http::verb::post, target, 11};
        request_.set(http::field::host, server_.address().to_string());
        request_.set(http::field::content_type, "application/json");
        request_.body() = std::move(body);
        request_.prepare_payload();
        stream_.expires_after(timeout_);
        if (stream_.socket().is_open())
        {
            write();
            return;
        }
        stream_.async_connect(
            server_,
            [self = shared_from_this()](beast::error_code error)
            {
                if (!error)
                {
                    self->stream_.socket().set_option(tcp::no_delay(true),
                                                      error);
                }
                error ? self->fail() : self->write();
            });
    }

    void close()
    {
        beast::error_code ignored;
        stream_.socket().close(ignored);
        buffer_.clear();
    }

    void forget() { reply_ = nullptr; }

private:
    void write()
    {
        http::async_write(stream_, request_,
                          [self = shared_from_this()](beast::error_code error,
                                                      std::size_t /*bytes*/)
                          { error ? self->fail() : self->read(); });
    }

    void read()
    {
        response_ = {};
        http::async_read(stream_, buffer_, response_,
                         [self = shared_from_this()](beast::error_code error,
                                                     std::size_t /*bytes*/)
                         { error ? self->fail() : self->finish(); });
    }

    void finish()
    {
        if (!response_.keep_alive())
        {
            close();
        }
        if (response_.result() == http::status::ok)
        {
            answer(std::move(response_.body()));
            return;
        }
        answer(std::nullopt);
    }

    void fail()
    {
        close();
        answer(std::nullopt);
    }

    void answer(std::optional<std::string> body)
    {
        if (const auto reply = std::exchange(reply_, nullptr))
        {
            reply(std::move(body));
        }
    }

    beast::tcp_stream stream_;
    tcp::endpoint server_;
    milliseconds timeout_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
    reply_function reply_;
};

http_client::http_client(boost::asio::io_context& context,
                         const tcp::endpoint& server, milliseconds timeout)
    : connection_(std::make_shared<connection>(context, server, timeout))
{
}

http_client::~http_client()
{
    connection_->forget();
    connection_->close();
}

bool http_client::busy() const
{
    return connection_->busy();
}

void http_client::post(const std::string& target, std::string body,
                       reply_function reply)
{
    connection_->post(target, std::move(body), std::move(reply));
}

void http_client::close()
{
    connection_->close();
}

} // namespace tanagerhoist::standin

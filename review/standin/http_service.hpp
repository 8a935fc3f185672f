#ifndef TANAGERHOIST_REVIEW_STANDIN_HTTP_SERVICE_HPP
#define TANAGERHOIST_REVIEW_STANDIN_HTTP_SERVICE_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <string>

namespace tanagerhoist::review
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;

struct http_reply
{
    unsigned status = 200;
    std::string body;
};

/// HTTP server with one thread per connection. A handler may block.
class http_service
{
public:
    using handler = std::function<http_reply(const http_request&)>;

    /// Listens on a free port of the address.
    http_service(const std::string& address, handler handle);

    /// Address and port, as settings name them.
    std::string endpoint() const;

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket socket) const;

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    handler handle_;
};

} // namespace tanagerhoist::review

#endif

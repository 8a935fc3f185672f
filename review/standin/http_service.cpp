#include "http_service.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <thread>
#include <utility>

namespace tanagerhoist::review
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

http_service::http_service(const std::string& address, handler handle)
    : acceptor_(context_, {boost::asio::ip::make_address(address), 0}),
      handle_(std::move(handle))
{
    // Ends with the process.
    std::thread([this] { accept(); }).detach();
}

std::string http_service::endpoint() const
{
    const auto local = acceptor_.local_endpoint();
    return local.address().to_string() + ':' + std::to_string(local.port());
}

void http_service::accept()
{
    for (;;)
    {
        boost::system::error_code error;
        tcp::socket socket(context_);
        acceptor_.accept(socket, error);
        if (!error)
        {
            socket.set_option(tcp::no_delay(true), error);
            std::thread([this, moved = std::move(socket)]() mutable
                        { serve(std::move(moved)); })
                .detach();
        }
    }
}

void http_service::serve(tcp::socket socket) const
{
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (!error)
    {
        http_request request;
        http::read(socket, buffer, request, error);
        if (error)
        {
            return;
        }
        auto reply = handle_(request);
        constexpr unsigned http_version = 11;
        http::response<http::string_body> response(
            http::int_to_status(reply.status), http_version);
        response.keep_alive(request.keep_alive());
        response.body() = std::move(reply.body);
        response.prepare_payload();
        http::write(socket, response, error);
    }
}

} // namespace tanagerhoist::review

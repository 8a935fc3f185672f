#include "tanagerhoist/adapter/http_responder.hpp"

#include "tanagerhoist/adapter/bound_socket.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>

#include <memory>
#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr milliseconds read_timeout{5000};
constexpr milliseconds write_timeout{2000};
constexpr std::size_t body_limit = 1024;                   // bytes
constexpr std::size_t stack_size = std::size_t{64} * 1024; // bytes
constexpr unsigned http_bad_request = 400;

} // namespace

http_responder::http_responder(boost::asio::io_context& context,
                               const boost::asio::ip::tcp::endpoint& where,
                               responder respond)
    : acceptor_(listen_on(context, where)), respond_(std::move(respond))
{
    accept();
}

void http_responder::accept()
{
    acceptor_.async_accept(
        [this](boost::system::error_code error,
               boost::asio::ip::tcp::socket socket)
        {
            if (error == boost::asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                serve(std::move(socket));
            }
            accept();
        });
}

void http_responder::serve(boost::asio::ip::tcp::socket socket)
{
    auto owned = std::make_unique<http_server_stream>(std::move(socket));
    boost::fibers::fiber(
        boost::fibers::launch::post, std::allocator_arg,
        boost::fibers::fixedsize_stack(stack_size),
        [this, stream = std::move(owned)]
        {
            http_request request;
            bool keep_alive = true;
            while (keep_alive)
            {
                const auto status =
                    stream->read(request, body_limit, read_timeout);
                if (status == read_status::malformed ||
                    status == read_status::too_large)
                {
                    stream->write({http_bad_request, "text/plain", ""}, false,
                                  write_timeout);
                    break;
                }
                keep_alive = status == read_status::complete &&
                             stream->write(respond_(request),
                                           request.keep_alive, write_timeout) &&
                             request.keep_alive;
            }
            stream->close();
        })
        .detach();
}

} // namespace tanagerhoist

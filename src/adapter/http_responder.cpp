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
constexpr milliseconds error_pause{100}; // after a failed accept
constexpr std::size_t body_limit = 1024; // bytes
constexpr std::size_t stack_size = std::size_t{64} * 1024; // bytes
constexpr unsigned http_bad_request = 400;

} // namespace

http_responder::http_responder(boost::asio::io_context& context,
                               const boost::asio::ip::tcp::endpoint& where,
                               std::size_t most_connections, responder respond,
                               clock now)
    : acceptor_(listen_on(context, where)),
      accept_timer_(context),
      connections_(most_connections),
      respond_(std::move(respond)),
      now_(std::move(now))
{
    accept();
}

void http_responder::accept()
{
    if (!connections_.may_accept(now_()))
    {
        accept_later(request_connections::min_wait);
        return;
    }
    acceptor_.async_accept(
        [this](boost::system::error_code error,
               boost::asio::ip::tcp::socket socket)
        {
            if (error == boost::asio::error::operation_aborted)
            {
                return;
            }
            if (error)
            {
                failed_accepts_.add(error);
                accept_later(error_pause);
                return;
            }
            accepted(std::move(socket));
            accept();
        });
}

void http_responder::accept_later(milliseconds pause)
{
    accept_timer_.expires_after(pause);
    accept_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                accept();
            }
        });
}

/// Makes room for a connection, and serves it in a fiber of its own.
void http_responder::accepted(boost::asio::ip::tcp::socket socket)
{
    const auto now = now_();
    if (const auto silent = connections_.to_free(now))
    {
        connections_.close(*silent);
        streams_.at(*silent)->close(); // its fiber ends
        streams_.erase(*silent);
        ++closed_;
    }
    auto owned = std::make_unique<http_server_stream>(std::move(socket));
    const auto id = connections_.open(now);
    streams_[id] = owned.get();
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                         boost::fibers::fixedsize_stack(stack_size),
                         [this, id, stream = std::move(owned)]
                         {
                             serve(id, *stream);
                             connections_.close(id);
                             streams_.erase(id);
                             stream->close();
                         })
        .detach();
}

void http_responder::serve(connection id, http_server_stream& stream)
{
    http_request request;
    bool keep_alive = true;
    while (keep_alive)
    {
        const auto status = stream.read(request, body_limit, read_timeout);
        connections_.begin_answer(id);
        if (status == read_status::malformed ||
            status == read_status::too_large)
        {
            stream.write({http_bad_request, "text/plain", ""}, false,
                         write_timeout);
            return;
        }
        keep_alive = status == read_status::complete &&
                     stream.write(respond_(request), request.keep_alive,
                                  write_timeout) &&
                     request.keep_alive;
        connections_.await_request(now_(), id);
    }
}

} // namespace tanagerhoist

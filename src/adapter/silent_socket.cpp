#include "tanagerhoist/adapter/silent_socket.hpp"

#include <boost/asio/buffer.hpp>

namespace tanagerhoist
{

namespace asio = boost::asio;

bool is_silent(asio::ip::tcp::socket& socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char next = 0;
    socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek,
                   error);
    return error == asio::error::would_block;
}

} // namespace tanagerhoist

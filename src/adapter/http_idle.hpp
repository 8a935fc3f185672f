#ifndef TANAGERHOIST_SRC_ADAPTER_HTTP_IDLE_HPP
#define TANAGERHOIST_SRC_ADAPTER_HTTP_IDLE_HPP

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace tanagerhoist
{

/// Whether a response is an interim one, which another response follows.
inline bool is_interim(unsigned status)
{
    constexpr unsigned first_interim = 100;
    constexpr unsigned first_final = 200;
    return status >= first_interim && status < first_final;
}

/// Whether nothing has arrived on a connection without a request: neither the
/// peer's close nor bytes, such as a repeated answer.
/// @param socket open and non-blocking
inline bool is_quiet(boost::asio::ip::tcp::socket& socket)
{
    char next = 0;
    boost::system::error_code error;
    socket.receive(boost::asio::buffer(&next, 1),
                   boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block;
}

} // namespace tanagerhoist

#endif

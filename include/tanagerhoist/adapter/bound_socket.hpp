#ifndef TANAGERHOIST_ADAPTER_BOUND_SOCKET_HPP
#define TANAGERHOIST_ADAPTER_BOUND_SOCKET_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace tanagerhoist
{

/// Listens for connections.
/// @throws boost::system::system_error that names the endpoint, for example if
///   another process uses it
boost::asio::ip::tcp::acceptor
listen_on(boost::asio::io_context& context,
          const boost::asio::ip::tcp::endpoint& where);

/// Opens a socket that receives datagrams.
/// @throws boost::system::system_error that names the endpoint
boost::asio::ip::udp::socket
receive_on(boost::asio::io_context& context,
           const boost::asio::ip::udp::endpoint& where);

} // namespace tanagerhoist

#endif

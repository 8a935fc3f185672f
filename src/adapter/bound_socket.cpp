#include "tanagerhoist/adapter/bound_socket.hpp"

#include <boost/system/system_error.hpp>

#include <sstream>

namespace tanagerhoist
{
namespace
{

/// Opens a socket; an error names the endpoint.
template <class Socket, class Endpoint>
Socket open(boost::asio::io_context& context, const Endpoint& where)
{
    try
    {
        return Socket(context, where);
    }
    catch (const boost::system::system_error& error)
    {
        std::ostringstream text;
        text << "listening on " << where;
        throw boost::system::system_error(error.code(), text.str());
    }
}

} // namespace

boost::asio::ip::tcp::acceptor
listen_on(boost::asio::io_context& context,
          const boost::asio::ip::tcp::endpoint& where)
{
    return open<boost::asio::ip::tcp::acceptor>(context, where);
}

boost::asio::ip::udp::socket
receive_on(boost::asio::io_context& context,
           const boost::asio::ip::udp::endpoint& where)
{
    return open<boost::asio::ip::udp::socket>(context, where);
}

} // namespace tanagerhoist

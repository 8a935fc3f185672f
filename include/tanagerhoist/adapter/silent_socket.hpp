#ifndef TANAGERHOIST_ADAPTER_SILENT_SOCKET_HPP
#define TANAGERHOIST_ADAPTER_SILENT_SOCKET_HPP

#include <boost/asio/ip/tcp.hpp>

namespace tanagerhoist
{

/// Whether nothing waits to be read from an open socket: neither bytes nor the
/// peer's end of the connection.
bool is_silent(boost::asio::ip::tcp::socket& socket);

} // namespace tanagerhoist

#endif

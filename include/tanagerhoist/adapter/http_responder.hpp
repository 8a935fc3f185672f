#ifndef TANAGERHOIST_ADAPTER_HTTP_RESPONDER_HPP
#define TANAGERHOIST_ADAPTER_HTTP_RESPONDER_HPP

#include "tanagerhoist/adapter/accept_errors.hpp"
#include "tanagerhoist/adapter/http_stream.hpp"
#include "tanagerhoist/session/request_connections.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace tanagerhoist
{

/// HTTP server for small requests that are answered without waiting: probes,
/// metrics and the settings that peers fetch. Runs one fiber per connection,
/// and closes those that send no request when there are too many.
class http_responder
{
public:
    using responder = std::function<http_answer(const http_request&)>;
    using clock = std::function<moment()>;

    /// @param most_connections at once
    /// @throws boost::system::system_error if it cannot listen on the endpoint
    http_responder(boost::asio::io_context& context,
                   const boost::asio::ip::tcp::endpoint& where,
                   std::size_t most_connections, responder respond, clock now);

    /// Connections closed so far to make room for another one.
    std::uint64_t closed() const { return closed_; }

    const accept_errors& failed_accepts() const { return failed_accepts_; }

    boost::asio::ip::tcp::endpoint local() const
    {
        return acceptor_.local_endpoint();
    }

private:
    using connection = request_connections::connection;

    void accept();
    void accept_later(milliseconds pause);
    void accepted(boost::asio::ip::tcp::socket socket);
    void serve(connection id, http_server_stream& stream);

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer accept_timer_;
    request_connections connections_;
    responder respond_;
    clock now_;
    /// Owned by their fibers.
    std::unordered_map<connection, http_server_stream*> streams_;
    std::uint64_t closed_ = 0;
    accept_errors failed_accepts_;
};

} // namespace tanagerhoist

#endif

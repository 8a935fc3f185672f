#ifndef TANAGERHOIST_ADAPTER_HTTP_RESPONDER_HPP
#define TANAGERHOIST_ADAPTER_HTTP_RESPONDER_HPP

#include "tanagerhoist/adapter/http_stream.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace tanagerhoist
{

/// HTTP server for small requests that are answered without waiting: probes,
/// metrics and the settings that peers fetch. Runs one fiber per connection.
class http_responder
{
public:
    using responder = std::function<http_answer(const http_request&)>;

    /// @throws boost::system::system_error if it cannot listen on the endpoint
    http_responder(boost::asio::io_context& context,
                   const boost::asio::ip::tcp::endpoint& where,
                   responder respond);

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor acceptor_;
    responder respond_;
};

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_ADAPTER_HTTP_RESPONDER_HPP
#define TANAGERHOIST_ADAPTER_HTTP_RESPONDER_HPP

#include "tanagerhoist/adapter/http_stream.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace tanagerhoist
{

/// Answers small HTTP requests that need no waiting: probes, metrics, the
/// settings that peers fetch. One fiber a connection.
class http_responder
{
public:
    using responder = std::function<http_answer(const http_request&)>;

    /// @throws boost::system::system_error if the endpoint can't be had
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

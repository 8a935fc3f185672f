#ifndef TANAGERHOIST_STANDIN_HTTP_CLIENT_HPP
#define TANAGERHOIST_STANDIN_HTTP_CLIENT_HPP

#include "tanagerhoist/core/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tanagerhoist::standin
{

/// Persistent connection to an HTTP server, opened on first use and reopened
/// after a failure. Sends one request at a time.
class http_client
{
public:
    /// Called with the body of a 200 response; empty on any failure.
    using reply_function = std::function<void(std::optional<std::string>)>;

    http_client(boost::asio::io_context& context,
                const boost::asio::ip::tcp::endpoint& server,
                milliseconds timeout);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Whether a request is in flight.
    bool busy() const;

    /// Sends a POST request. Must not be called while busy.
    void post(const std::string& target, std::string body,
              reply_function reply);

    /// Closes the connection; a request in flight fails.
    void close();

private:
    class connection;
    std::shared_ptr<connection> connection_;
};

} // namespace tanagerhoist::standin

#endif

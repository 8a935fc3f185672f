#ifndef TANAGERHOIST_STANDIN_HTTP_SERVICE_HPP
#define TANAGERHOIST_STANDIN_HTTP_SERVICE_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tanagerhoist::standin
{

/// Request passed to a handler.
struct http_request
{
    std::string target; ///< with the query, if any
    std::string body;
    std::uint64_t connection = 0; ///< id, unique for each service object
    std::map<std::string, std::string> headers{}; ///< by name, as sent
};

/// Response of a handler; the body is JSON.
struct http_response
{
    unsigned status = 200;
    std::string body;
    std::map<std::string, std::string> headers{}; ///< additional ones
};

/// Minimal HTTP/1.1 server with keep-alive. `context` must run on one thread.
class http_service
{
public:
    /// Sends the response; may be called later, at most once. If the last copy
    /// is destroyed without a call, the connection closes without a response.
    using response_callback = std::function<void(http_response)>;

    using handler = std::function<void(http_request, response_callback)>;

    /// Binds to `local`; port 0 selects any free port.
    /// @param closed called with the id of each connection that is closed
    http_service(boost::asio::io_context& context,
                 const boost::asio::ip::tcp::endpoint& local,
                 std::function<void(std::uint64_t)> closed);
    ~http_service();
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;

    /// Sets the handler of requests to a path, for every method and query.
    void route(const std::string& path, handler run);

    /// Endpoint that the service listens on.
    boost::asio::ip::tcp::endpoint local() const;

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace tanagerhoist::standin

#endif

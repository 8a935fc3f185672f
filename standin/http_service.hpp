#ifndef TANAGERHOIST_STANDIN_HTTP_SERVICE_HPP
#define TANAGERHOIST_STANDIN_HTTP_SERVICE_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tanagerhoist::standin
{

/// A request as a handler sees it.
struct http_request
{
    std::string body;
    std::uint64_t connection = 0; ///< unique over the life of the service
};

/// What a handler answers; the body is JSON.
struct http_response
{
    unsigned status = 200;
    std::string body;
};

/// Small HTTP/1.1 server with keep-alive, for one thread that runs `context`.
class http_service
{
public:
    /// Sends the answer; may be called later, once. A copy that is dropped
    /// uncalled, if it is the last, closes the connection without an answer.
    using response_callback = std::function<void(http_response)>;

    using handler = std::function<void(http_request, response_callback)>;

    /// Binds to `local`; port 0 takes any free port.
    /// @param closed runs with the number of each connection that has ended
    http_service(boost::asio::io_context& context,
                 const boost::asio::ip::tcp::endpoint& local,
                 std::function<void(std::uint64_t)> closed);
    ~http_service();
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;

    /// Sets who answers requests to `target`, whatever their method.
    void route(const std::string& target, handler run);

    /// Address and port it listens on.
    boost::asio::ip::tcp::endpoint local() const;

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace tanagerhoist::standin

#endif

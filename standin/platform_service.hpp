#ifndef TANAGERHOIST_STANDIN_PLATFORM_SERVICE_HPP
#define TANAGERHOIST_STANDIN_PLATFORM_SERVICE_HPP

#include "standin/http_service.hpp"
#include "standin/platform.hpp"
#include "standin/process_clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <vector>

namespace tanagerhoist::standin
{

/// HTTP front end of the platform: /call, /fault and /dump. If a call gets no
/// reply, its connection is closed.
class platform_service
{
public:
    platform_service(boost::asio::io_context& context,
                     const boost::asio::ip::tcp::endpoint& listen,
                     const std::vector<proto::ListedVm>& listed);

    /// Endpoint that the service listens on.
    boost::asio::ip::tcp::endpoint local() const { return http_.local(); }

private:
    using response_callback = http_service::response_callback;

    void call(const http_request& request, response_callback answer);
    void fault(const http_request& request, const response_callback& answer);
    void send_delayed(http_response response, response_callback answer);

    boost::asio::io_context& context_;
    process_clock clock_;
    platform platform_;
    std::list<boost::asio::steady_timer> delays_;
    http_service http_; ///< declared last, so that it is destroyed first
};

} // namespace tanagerhoist::standin

#endif

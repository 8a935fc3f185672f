#ifndef TANAGERHOIST_STANDIN_SESSION_GROUP_SERVICE_HPP
#define TANAGERHOIST_STANDIN_SESSION_GROUP_SERVICE_HPP

#include "standin/http_client.hpp"
#include "standin/http_service.hpp"
#include "standin/promotion_record.hpp"
#include "standin/session_group.hpp"
#include "standin/session_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

/// One server of a group, and where it listens.
struct session_group_member
{
    std::string name;
    boost::asio::ip::tcp::endpoint listen;
};

struct session_group_options
{
    std::string name;
    std::vector<session_group_member> servers; ///< the primary first
    boost::asio::ip::tcp::endpoint listen;     ///< of the HTTP calls
    boost::asio::ip::tcp::endpoint store;      ///< where the servers register
    milliseconds control_time{0};              ///< of a control command
    milliseconds promotion_time{0};            ///< from a request to the role
    milliseconds repeated_after{0}; ///< of control answers sent again; 0: none
};

/// A group's backend servers, their rows in the store, and the platform's call
/// /failover, which records each request and checks no token. Other calls:
/// /orders and /violations print the record, /commands the number of control
/// commands, /next-command the next one once it arrives, /control-time takes
/// the new time of a control command in ms; /order-delay takes by how many ms
/// the next request is read late, /received prints how many have come; /drain
/// and /silence act on the primary, /recover ends both.
class session_group_service
{
public:
    session_group_service(boost::asio::io_context& context,
                          const session_group_options& options);

    /// Endpoint of the HTTP calls.
    boost::asio::ip::tcp::endpoint local() const { return http_.local(); }

private:
    using response_callback = http_service::response_callback;

    void add_routes();
    void add_change(const std::string& path, void (session_group::*change)());
    void command_arrived(const std::string& server, const std::string& command);
    void fail_over(const http_request& request,
                   const response_callback& answer);
    void follow(const promotion_order& order, const response_callback& answer);
    void promote_later(const std::string& server);
    void run_later(milliseconds time, std::function<void()> work);
    void set_order_delay(const http_request& request,
                         const response_callback& answer);
    void set_control_time(const http_request& request,
                          const response_callback& answer);
    void register_servers();
    void register_later();

    boost::asio::io_context& context_;
    session_group group_;
    control_commands control_;
    std::vector<std::unique_ptr<session_server>> servers_;
    promotion_record record_;
    milliseconds promotion_time_;
    milliseconds order_delay_{0}; ///< of the next request
    std::uint64_t received_ = 0;  ///< requests, also those that are read late
    std::list<boost::asio::steady_timer> timers_;
    std::uint64_t commands_ = 0;
    std::vector<response_callback> awaiting_command_;
    http_client store_;
    boost::asio::steady_timer registration_timer_;
    bool changed_ = false; ///< since the rows were last sent
    http_service http_;    ///< declared last, so that it is destroyed first
};

} // namespace tanagerhoist::standin

#endif

#ifndef TANAGERHOIST_STANDIN_DATABASE_SERVICE_HPP
#define TANAGERHOIST_STANDIN_DATABASE_SERVICE_HPP

#include "standin/database_server.hpp"
#include "standin/http_client.hpp"
#include "standin/http_service.hpp"
#include "standin/process_clock.hpp"
#include "standin/statement_slots.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

/// Configuration of a stand-in database server.
struct database_service_options
{
    std::string name;
    std::vector<std::string> group; ///< all servers, including this one
    boost::asio::ip::tcp::endpoint listen;
    bool primary = false; ///< start as the primary of term 1
    std::uint64_t slots = 1;
    milliseconds statement_time{0};
    milliseconds lag{0}; ///< between receiving and applying log entries
};

/// HTTP front end of a database server: /call, /replicate, /fault and /dump.
/// Each HTTP connection is a database connection; closing it rolls back its
/// transaction.
class database_service
{
public:
    database_service(boost::asio::io_context& context,
                     database_service_options options);

    /// Sets the address of another server of the group.
    void connect(const std::string& server,
                 const boost::asio::ip::tcp::endpoint& address);

    /// Endpoint that the service listens on.
    boost::asio::ip::tcp::endpoint local() const { return http_.local(); }

private:
    using response_callback = http_service::response_callback;

    /// A status call that is waiting for its log point.
    struct waiting_status
    {
        proto::DatabaseCall call;
        moment deadline;
        response_callback answer;
    };

    void promote_as_initial_primary();
    void add_routes();
    void run_unless_frozen(std::function<void()> work);
    void call(const http_request& request, const response_callback& answer);
    void queue_status_call(const proto::DatabaseCall& call,
                           response_callback answer);
    void replicate(const http_request& request,
                   const response_callback& answer);
    void fault(const http_request& request, const response_callback& answer);
    void dump(const response_callback& answer) const;
    void replicate_and_answer();
    void answer_waiting_calls();
    void push_all();
    void push(const std::string& replica, http_client& client);
    void tick();

    database_service_options options_;
    process_clock clock_;
    database_server server_;
    statement_slots slots_;
    boost::asio::io_context& context_;
    boost::asio::steady_timer timer_;
    std::map<std::string, std::unique_ptr<http_client>> peers_;
    std::list<waiting_status> waiting_;
    bool frozen_ = false;
    std::vector<std::function<void()>> deferred_; ///< received while frozen
    std::set<std::string> cut_;
    http_service http_; ///< declared last, so that it is destroyed first
};

} // namespace tanagerhoist::standin

#endif

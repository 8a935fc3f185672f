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

/// What a stand-in database server is started with.
struct database_service_options
{
    std::string name;
    std::vector<std::string> group; ///< all servers, this one included
    boost::asio::ip::tcp::endpoint listen;
    bool primary = false; ///< starts as the primary of term 1
    std::uint64_t slots = 1;
    milliseconds statement_time{0};
    milliseconds lag{0}; ///< between arrival and applying of log entries
};

/// A database server behind HTTP: /call, /replicate, /fault and /dump. Each
/// connection is a database connection; its end rolls back its transaction.
class database_service
{
public:
    database_service(boost::asio::io_context& context,
                     database_service_options options);

    /// Tells where another server of the group listens.
    void connect(const std::string& server,
                 const boost::asio::ip::tcp::endpoint& address);

    /// Address and port it listens on.
    boost::asio::ip::tcp::endpoint local() const { return http_.local(); }

private:
    using response_callback = http_service::response_callback;

    /// A status call that waits for its log point.
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
    std::vector<std::function<void()>> deferred_; ///< arrived while frozen
    std::set<std::string> cut_;
    http_service http_; ///< last, so that it ends first
};

} // namespace tanagerhoist::standin

#endif

#ifndef TANAGERHOIST_STANDIN_STORE_SERVICE_HPP
#define TANAGERHOIST_STANDIN_STORE_SERVICE_HPP

#include "standin/http_service.hpp"
#include "standin/process_clock.hpp"
#include "standin/row_table.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <string>

namespace tanagerhoist::standin
{

/// HTTP front end of the platform's store of rows: transactions, reads and
/// watches. /copy takes a copy of all rows, /restore returns to it, and /calls
/// tells how many calls came. Transactions run one after another, each for a
/// set time, also those whose caller has gone.
class store_service
{
public:
    store_service(boost::asio::io_context& context,
                  const boost::asio::ip::tcp::endpoint& listen,
                  milliseconds transaction_time);

    /// Endpoint that the service listens on.
    boost::asio::ip::tcp::endpoint local() const { return http_.local(); }

private:
    using response_callback = http_service::response_callback;

    struct waiting_watch
    {
        std::string table;
        std::uint64_t version;
        response_callback answer;
        boost::asio::steady_timer timer;
    };
    using watch_list = std::list<waiting_watch>;
    struct waiting_write
    {
        store_transaction transaction;
        response_callback answer;
    };

    void write(const http_request& request, response_callback answer);
    void run_next_write();
    void read(const http_request& request, const response_callback& answer);
    void watch(const http_request& request, response_callback answer);
    void restore(const response_callback& answer);
    void answer_changed_watches();
    void end_watch(watch_list::iterator watch);
    http_response encode(const store_answer& answer) const;

    boost::asio::io_context& context_;
    milliseconds transaction_time_;
    process_clock clock_;
    row_table rows_;
    std::uint64_t calls_ = 0;
    watch_list watches_;
    std::deque<waiting_write> writes_; ///< the first one is running
    boost::asio::steady_timer write_timer_;
    http_service http_; ///< declared last, so that it is destroyed first
};

} // namespace tanagerhoist::standin

#endif

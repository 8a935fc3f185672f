#ifndef TANAGERHOIST_REVIEW_STANDIN_DATABASE_GROUP_HPP
#define TANAGERHOIST_REVIEW_STANDIN_DATABASE_GROUP_HPP

#include "record.hpp"
#include "store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace tanagerhoist::review
{

/// Times of a group's servers, and their capacity.
struct server_times
{
    unsigned slots = 100; ///< statements of one server at a time
    std::chrono::milliseconds statement{22}; ///< a read, write or commit
    std::chrono::milliseconds control{5};    ///< STATUS and DEMOTE
    std::chrono::milliseconds promote{1000};
};

/// Stand-in of a service: its servers on loopback addresses, which speak the
/// wire protocol of PROTOCOL.md and register themselves in the store. All
/// commits reach the replicas at once.
class database_group
{
public:
    database_group(std::string name, const std::vector<std::string>& addresses,
                   server_times times, store& platform, record& lines);

    const std::string& name() const { return name_; }

    /// Writes the entries of all servers, and again at each heartbeat.
    void start_heartbeats();

    /// STATUS and DEMOTE commands received so far.
    unsigned control_commands() const { return control_commands_; }

    /// Marks the present primary as draining.
    void drain_primary();

    /// Makes the server the primary of the next term, after the promote's time.
    /// @return false if it has no such server
    bool promote(const std::string& id);

private:
    struct server
    {
        std::string id;
        std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
        bool primary = false;
        bool draining = false;
        std::uint64_t term = 1;
        std::uint64_t sequence = 0;
        unsigned running = 0;
        std::condition_variable ended; ///< notified when a slot is free
    };

    /// State of one connection.
    struct session
    {
        bool in_transaction = false;
        bool wrote = false;
    };

    void accept(server& of);
    void serve(server& of, boost::asio::ip::tcp::socket socket);
    std::string run(server& at, session& state, const std::string& line);
    std::string run_control(server& at, const std::string& text);
    std::string run_statement(server& at, session& state, const std::string& id,
                              const std::string& text);
    void work(server& at);
    std::string ready(const server& at, const session& state) const;
    std::string entry_of(server& of) const;
    void write_entries();

    std::string name_;
    server_times times_;
    store& store_;
    record& record_;
    boost::asio::io_context context_;
    mutable std::mutex mutex_; ///< guards the servers and the log
    std::vector<std::unique_ptr<server>> servers_;
    std::uint64_t term_ = 1; ///< of the newest primary
    std::uint64_t commits_ = 0;
    std::atomic<unsigned> control_commands_{0};
};

} // namespace tanagerhoist::review

#endif

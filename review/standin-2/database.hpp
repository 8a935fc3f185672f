#ifndef TANAGERHOIST_REVIEW_DATABASE_HPP
#define TANAGERHOIST_REVIEW_DATABASE_HPP

#include "store.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tanagerhoist::review
{

/// A statement that a server has begun to run.
struct run
{
    moment at;
    std::string server;
    std::string workspace; ///< who the connection's STARTUP named
    std::string id;        ///< of the statement
    std::string text;
    bool at_primary = false;
    std::uint64_t log_end = 0; ///< number that the log reaches during the run
};

/// How the servers of a group work.
struct database_options
{
    std::string group;
    std::vector<std::string> data_centres; ///< of its servers, primary first
    unsigned slots = 5;
    milliseconds work{33}; ///< of a read, write or commit
    milliseconds lag{20};  ///< of replicas
    milliseconds handshake{12};
    milliseconds promotion{600};
};

/// The servers of one group, which register in the store and speak the line
/// protocol. A statement runs to its end when its connection is closed.
class database
{
public:
    using on_run = std::function<void(const run&)>;

    database(asio::io_context& context, platform& store,
             database_options options, on_run ran);

    /// The call /failover.
    /// @return HTTP status
    unsigned promote(const std::string& id);

    /// Changes how much later than the primary a server applies, counted from
    /// the first. What it has applied stays so.
    void set_lag(std::size_t index, milliseconds lag);

private:
    struct server
    {
        std::string id;
        std::string data_centre;
        std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
        bool primary = false;
        std::uint64_t term = 1;
        unsigned busy = 0;   ///< slots
        unsigned queued = 0; ///< statements that wait for one
        unsigned connections = 0;
        std::uint64_t beats = 0;
        milliseconds lag{0};       ///< while it is a replica
        std::uint64_t applied = 0; ///< when the lag was changed
    };

    /// One connection, as its server knows it.
    struct link
    {
        server& at;
        asio::ip::tcp::socket socket;
        std::string input;
        std::string workspace;
        char state = 'I';
        bool reads_only = false;
        std::uint64_t writes = 0; ///< of the open transaction
    };

    struct statement
    {
        std::string id;
        std::string after;
        std::string text;
    };

    void accept(server& at);
    void serve(link& on, const asio::yield_context& yield);
    void run_statement(link& on, const statement& what,
                       const asio::yield_context& yield);
    std::string answer(link& on, const statement& what,
                       const asio::yield_context& yield);
    std::string answer_at_once(link& on, const statement& what);
    std::string begin(link& on, const statement& what);
    std::string work(link& on, const statement& what,
                     const asio::yield_context& yield);
    std::string commit(link& on, std::uint64_t writes);
    bool lacks(const server& at, const std::string& after) const;
    std::uint64_t applied(const server& at, moment when) const;
    std::string ready(const link& on) const;
    std::string status(const server& at) const;
    void beat(server& of);

    asio::io_context& context_;
    platform& store_;
    database_options options_;
    on_run ran_;
    std::vector<std::unique_ptr<server>> servers_;
    std::vector<moment> commits_; ///< the log
    std::uint64_t signatures_ = 0;
    std::uint64_t term_ = 1;
};

} // namespace tanagerhoist::review

#endif

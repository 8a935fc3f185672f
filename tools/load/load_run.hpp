#ifndef TANAGERHOIST_TOOLS_LOAD_LOAD_RUN_HPP
#define TANAGERHOIST_TOOLS_LOAD_LOAD_RUN_HPP

#include "commands.hpp"
#include "run_statistics.hpp"
#include "write_ledger.hpp"

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist::load
{

/// Open-loop load generator: sends each request when it is due, whether or not
/// earlier ones were answered. All members and fibers run on one thread.
class load_run
{
public:
    explicit load_run(command_context& context);

    /// Sends for the duration on the command line, or until `stop` is called,
    /// and returns once every request was answered or timed out.
    void run();

    /// Stops sending; `run` still waits for the requests in flight.
    void stop() { stopped_ = true; }

    const run_statistics& statistics() const { return statistics_; }
    const write_ledger& writes() const { return writes_; }

private:
    /// A caller's session. It uses one database, and a random daemon for each
    /// request.
    struct session
    {
        std::string workspace;
        std::string key;
        std::string database;
        proto::SessionToken token;
        std::vector<std::string> acknowledged; ///< ids of its served writes
        std::uint64_t next = 0;                ///< number of its next write
    };

    /// One request in flight.
    struct attempt
    {
        session* from;
        const proto::RouteSettings* route;
        proto::CallerRequest request;
        std::string expected; ///< value that a read must return
    };

    void add_sessions(const proto::WorkspaceSettings& workspace);
    void generate_requests(const proto::WorkspaceSettings& workspace);
    attempt make_request(session& from);
    void fill_read(attempt& next);
    void fill_write(attempt& next);
    void send(attempt sent);
    void record_reply(const attempt& sent, const proto::CallerReply& reply,
                      instant started);
    void record_served_reply(const attempt& sent,
                             const proto::CallerReply& reply);
    const proto::RouteSettings* random_route(const std::string& database,
                                             const char* kind);
    std::size_t random_index(std::size_t count);

    command_context& context_;
    std::mt19937_64 random_;
    std::string id_prefix_; ///< makes request ids unique across runs
    instant send_until_{};
    bool stopped_ = false;
    std::uint64_t in_flight_ = 0;
    std::vector<session> sessions_;
    std::map<std::string, std::vector<session*>> by_workspace_;
    run_statistics statistics_;
    write_ledger writes_;
};

} // namespace tanagerhoist::load

#endif

#ifndef TANAGERHOIST_TOOLS_LOAD_LOAD_RUN_HPP
#define TANAGERHOIST_TOOLS_LOAD_LOAD_RUN_HPP

#include "commands.hpp"
#include "tally.hpp"
#include "write_ledger.hpp"

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist::load
{

/// Open-loop load: requests leave when they are due, whether or not earlier
/// ones are answered. All members run on one thread.
class load_run
{
public:
    explicit load_run(command_context& context);

    /// Sends for the time that the command line gives, or until `stop`, and
    /// returns once every request is answered or given up.
    void run();

    /// Ends the sending early.
    void stop() { stopped_ = true; }

    const tally& seen() const { return seen_; }
    const write_ledger& writes() const { return writes_; }

private:
    /// A caller's session, which keeps to one database but to no daemon.
    struct session
    {
        std::string workspace;
        std::string key;
        std::string database;
        proto::SessionToken token;
        std::vector<std::string> acknowledged; ///< ids of its writes
        std::uint64_t next = 0;
    };

    /// One request under way.
    struct attempt
    {
        session* from;
        const proto::RouteSettings* route;
        proto::CallerRequest request;
        std::string expected; ///< value that a read should show
    };

    void add_sessions(const proto::WorkspaceSettings& workspace);
    void pace(const proto::WorkspaceSettings& workspace);
    attempt compose(session& from);
    void compose_read(attempt& next);
    void compose_write(attempt& next);
    void send(attempt sent);
    void settle(const attempt& sent, const proto::CallerReply& reply,
                instant began);
    void settle_served(const attempt& sent, const proto::CallerReply& reply);
    const proto::RouteSettings* any_route(const std::string& database,
                                          const char* kind);
    std::size_t below(std::size_t count);

    command_context& context_;
    std::mt19937_64 random_;
    std::string name_; ///< makes request ids unique among runs
    instant end_{};
    bool stopped_ = false;
    std::uint64_t under_way_ = 0;
    std::vector<session> sessions_;
    std::map<std::string, std::vector<session*>> by_workspace_;
    tally seen_;
    write_ledger writes_;
};

} // namespace tanagerhoist::load

#endif

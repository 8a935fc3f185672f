#ifndef TANAGERHOIST_STANDIN_DATABASE_GROUP_HPP
#define TANAGERHOIST_STANDIN_DATABASE_GROUP_HPP

#include "standin/database_server.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist::standin
{

/// Simulates all servers of one database group in one process, on an injected
/// clock. The first server starts as the primary of term 1.
class database_group
{
public:
    database_group(moment now, std::vector<std::string> servers);

    /// Passes a call to `server`. Empty if the server is stopped or frozen.
    std::optional<proto::DatabaseReply> handle(moment now,
                                               const std::string& server,
                                               std::uint64_t connection,
                                               const proto::DatabaseCall& call);

    void connection_closed(const std::string& server, std::uint64_t connection);

    /// Advances replication to `now`: sends pending messages and applies those
    /// whose lag has passed.
    void advance(moment now);

    /// Sets the time between sending and applying entries from `from` to `to`.
    void set_lag(const std::string& from, const std::string& to,
                 milliseconds lag);

    /// Sets the lag between all pairs of servers.
    void set_lag(milliseconds lag);

    /// Drops all messages between the two servers, in both directions.
    void cut(const std::string& one, const std::string& other);

    /// Drops all messages between `server` and the rest of the group.
    void isolate(const std::string& server);

    void heal(const std::string& one, const std::string& other);
    void heal();

    /// Stops `server`; its log and sealed term survive.
    void kill(moment now, const std::string& server);

    /// Starts a stopped server as a replica.
    void restart(moment now, const std::string& server);

    /// A frozen server neither answers nor replicates, but keeps its state.
    void set_frozen(const std::string& server, bool frozen);

    database_server& server(const std::string& name);
    const std::vector<std::string>& servers() const { return names_; }

    /// Whether `server` is neither stopped nor frozen.
    bool responds(const std::string& server) const;

private:
    using link = std::pair<std::string, std::string>;

    bool reachable(const std::string& from, const std::string& to) const;
    void send_all(moment now, database_server& from, const std::string& to);

    std::vector<std::string> names_;
    std::map<std::string, database_server> servers_;
    std::map<link, milliseconds> lags_;
    std::set<link> cuts_;
    std::set<std::string> dead_;
    std::set<std::string> frozen_;
};

} // namespace tanagerhoist::standin

#endif

#ifndef TANAGERHOIST_DECISION_CONNECTION_POOL_HPP
#define TANAGERHOIST_DECISION_CONNECTION_POOL_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace tanagerhoist
{

struct connection_pool_options
{
    /// Time after which an idle connection is closed, longest idle first.
    milliseconds idle_time{10'000};

    /// Connections to each server that the idle timeout leaves open.
    std::uint64_t floor = 1;

    /// Wait after the first failure to open; doubles with each consecutive one.
    milliseconds initial_backoff{50};
    /// Upper bound of that wait.
    milliseconds max_backoff{2'000};
};

/// Connection pools of one VM, one for each backend server.
///
/// Each connection has at most one owner between `acquire` and `release`. It
/// is reused only if the owner reports that every statement sent on it has been
/// answered. The number of connections to a server never exceeds its limit,
/// except that connections in use when the limit is lowered stay open until
/// they are released.
///
/// The limit of a server is 0 until it is set. A server that is not in the
/// settings, or whose database is leaving, is drained: no connection is opened
/// or handed out, idle ones are closed at once and busy ones on release.
class connection_pool
{
public:
    explicit connection_pool(connection_pool_options options = {});

    /// Applies the servers of new settings and drains those removed. A server
    /// that is added has limit 0 until `limit` is called.
    void use_settings(const proto::Settings& settings, outbox& out);

    /// Sets the maximum number of connections from this VM to `server`. Has no
    /// effect on a server that isn't served. Connections above the limit that
    /// are opening or idle are closed at once.
    void limit(const std::string& server, std::uint64_t connections,
               outbox& out);

    /// Sets the number of requests that wait for a connection to `server`, and
    /// opens connections for them within the limit.
    void waiting(moment now, const std::string& server, std::uint64_t requests,
                 outbox& out);

    /// Returns the most recently used idle connection. If there is none, starts
    /// to open one unless enough are opening for the requests that wait.
    /// @return number of the connection; empty if none is idle
    std::optional<std::uint64_t> acquire(moment now, const std::string& server,
                                         outbox& out);

    /// Returns a connection to the pool.
    /// @param clean every statement sent on it has been answered completely and
    ///   no transaction is open on it; otherwise it is closed
    void release(moment now, std::uint64_t connection, bool clean, outbox& out);

    /// Handles the completion of an open: the connection becomes idle.
    void on_opened(moment now, std::uint64_t connection);

    /// Handles a connection that was closed or could not be opened. A later
    /// `release` of it has no effect.
    void on_closed(moment now, std::uint64_t connection, outbox& out);

    /// Number of connections to `server` that are opening, idle or in use.
    std::uint64_t open(const std::string& server) const;

    /// Number of connections to `server` in use.
    std::uint64_t busy(const std::string& server) const;

    /// Number of connections to `server` that current demand needs. May exceed
    /// the limit; the limiter then requests a larger share.
    std::uint64_t wanted(const std::string& server) const;

    /// Servers with open connections or with requests that wait for one.
    const std::set<std::string>& active() const { return active_; }

    /// Returns and clears the set of servers for which `acquire` found no idle
    /// connection since the last call.
    std::set<std::string> take_starved_servers();

    /// Closes connections that exceeded the idle time, and opens connections
    /// that backoff or the limit had delayed.
    void on_tick(moment now, outbox& out);

private:
    enum class state
    {
        opening,
        idle,
        busy
    };

    struct connection
    {
        std::string server;
        tanagerhoist::connection_pool::state state = state::opening;
        moment idle_since;
    };

    struct pool
    {
        bool serving = false;    ///< in the settings and not leaving
        std::uint64_t limit = 0; ///< 0 unless serving
        std::uint64_t waiting = 0;
        /// `acquire` failed, and since then no connection was acquired, opened
        /// or failed to open.
        bool acquire_failed = false;
        std::uint64_t failures = 0;
        moment open_after;
        std::set<std::uint64_t> opening;
        std::set<std::uint64_t> busy;
        /// Ordered by the start of the idle time, then by number.
        std::set<std::pair<moment, std::uint64_t>> idle;

        std::uint64_t size() const
        {
            return opening.size() + busy.size() + idle.size();
        }
        /// Stops serving; with limit 0 only busy connections stay open, until
        /// they are released.
        void drain()
        {
            serving = false;
            limit = 0;
            failures = 0;
            open_after = {};
        }
        std::uint64_t demand() const
        {
            return waiting == 0 && acquire_failed ? 1 : waiting;
        }
    };

    void open_for_demand(moment now, const std::string& server, outbox& out);
    void close_excess(pool& target, outbox& out);
    void close(pool& target, std::uint64_t id, outbox& out);
    void remove(pool& target, std::uint64_t id);
    microseconds backoff_after(std::uint64_t failures) const;

    connection_pool_options options_;
    std::uint64_t next_id_ = 1;
    std::map<std::string, pool> pools_;
    std::set<std::string> active_;
    std::set<std::string> starved_servers_;
    std::map<std::uint64_t, connection> connections_;
};

} // namespace tanagerhoist

#endif

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
    /// Idle connections are closed after this time, the longest idle first.
    milliseconds idle_time{10'000};

    /// Connections to each server that are kept however long they are idle.
    std::uint64_t floor = 1;

    /// Wait after a failure to open; doubles with each further one.
    milliseconds initial_backoff{50};
    milliseconds max_backoff{2'000};
};

/// The connections of one VM to all database servers.
///
/// Each connection has at most one owner between `acquire` and `release`, and
/// is reused only if its owner vouches that no answer on it is outstanding or
/// in doubt. Connections to a server stay under its limit, but for those in
/// use when the limit was lowered: these are closed on release.
///
/// A server without a limit has none to give. A server that is not in the
/// settings, or whose database is leaving, is drained: no connection is opened
/// or handed out, idle ones are closed at once and used ones on release.
class connection_pool
{
public:
    explicit connection_pool(connection_pool_options options = {});

    /// Takes the servers from new settings and drains those that left. One
    /// that is new has no limit yet and so gives no connection.
    void use_settings(const proto::Settings& settings, outbox& out);

    /// Sets how many connections this VM may hold to `server`, until that is
    /// drained; does nothing for a server that is not served. When it has
    /// more, those being opened and those idle are closed at once.
    void limit(const std::string& server, std::uint64_t connections,
               outbox& out);

    /// Tells how many requests wait for a connection to `server`, and opens
    /// ahead of their need as far as the limit allows.
    void waiting(moment now, const std::string& server, std::uint64_t requests,
                 outbox& out);

    /// Hands out an idle connection, the one used last. If there is none, it
    /// begins to open one, unless enough are being opened for those waiting.
    std::optional<std::uint64_t> acquire(moment now, const std::string& server,
                                         outbox& out);

    /// Takes a connection back. `clean` tells that each statement sent on it
    /// has been answered whole and no transaction is open on it.
    void release(moment now, std::uint64_t connection, bool clean, outbox& out);

    /// Takes the news that a connection can be used.
    void on_opened(moment now, std::uint64_t connection);

    /// Takes the news that a connection is closed or could not be opened. If
    /// it was in use, it is no longer; a release of it then does nothing.
    void on_closed(moment now, std::uint64_t connection, outbox& out);

    /// Connections to `server`: opening, idle and in use.
    std::uint64_t open(const std::string& server) const;

    /// Connections to `server` in use.
    std::uint64_t busy(const std::string& server) const;

    /// Connections to `server` that could be put to use now; may exceed the
    /// limit, so that more can be asked for.
    std::uint64_t wanted(const std::string& server) const;

    /// Servers with connections or with requests that wait for one.
    const std::set<std::string>& active() const { return active_; }

    /// Takes the servers that lacked a connection since the last call.
    std::set<std::string> take_starved_servers();

    /// Closes connections idle for too long; opens those that back-off or the
    /// limit held up.
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
        /// An `acquire` found none since the last one or opening did.
        bool acquire_failed = false;
        std::uint64_t failures = 0;
        moment open_after;
        std::set<std::uint64_t> opening;
        std::set<std::uint64_t> busy;
        /// By the time since when, then by number.
        std::set<std::pair<moment, std::uint64_t>> idle;

        std::uint64_t size() const
        {
            return opening.size() + busy.size() + idle.size();
        }
        /// Keeps only the connections in use, until they are released.
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

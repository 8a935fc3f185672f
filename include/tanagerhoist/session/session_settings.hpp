#ifndef TANAGERHOIST_SESSION_SESSION_SETTINGS_HPP
#define TANAGERHOIST_SESSION_SESSION_SETTINGS_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/region_rules.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace tanagerhoist
{

/// Consistency guarantee of a route's reads: the commits that they must see.
enum class read_consistency
{
    primary,           ///< every commit acknowledged before the read
    bounded_staleness, ///< commits older than the maximum staleness
    read_your_writes   ///< also all commits of the same session
};

/// A database name that sessions may open, and how it is served.
struct session_route
{
    std::string group; ///< group whose servers serve it
    read_consistency consistency = read_consistency::primary;
    milliseconds statement_timeout{1000};
    milliseconds target_latency{1000}; ///< of an operation
    milliseconds max_staleness{0};     ///< not used for `primary`
    unsigned priority = 0;             ///< 0 is the highest
    bool open = false;                 ///< accepts sessions without a key
    region_set regions{};              ///< whose servers may serve it
};

/// A group: a primary and its replicas.
struct session_group
{
    unsigned connections = 0;          ///< limit per server over all VMs
    unsigned synchronous_replicas = 0; ///< replicas that must confirm a commit
    milliseconds warmup{0};            ///< from the start of a server
    /// Requests per second to a server in its warm-up; 0: no limit.
    double warmup_rate = 0;
};

/// Rate limit of a workspace over the whole fleet.
struct session_workspace
{
    double rate = 0;      ///< operations per second
    double burst = 0;     ///< operations
    region_set regions{}; ///< whose servers may serve it
};

/// One version of the settings in force.
struct session_settings
{
    std::uint64_t version = 0;
    std::unordered_map<std::string, session_route> routes; ///< by database
    std::unordered_map<std::string, session_group> groups;
    std::unordered_map<std::string, session_workspace> workspaces;
    std::unordered_map<std::string, std::string> keys; ///< key to workspace
    milliseconds transaction_idle{0};                  ///< 0: no limit

    const session_route* route(const std::string& database) const
    {
        const auto it = routes.find(database);
        return it == routes.end() ? nullptr : &it->second;
    }

    /// Workspace of a key; null if the key is unknown.
    const std::string* workspace_of(const std::string& key) const
    {
        const auto it = keys.find(key);
        return it == keys.end() ? nullptr : &it->second;
    }
};

} // namespace tanagerhoist

#endif

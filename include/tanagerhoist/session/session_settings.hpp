#ifndef TANAGERHOIST_SESSION_SESSION_SETTINGS_HPP
#define TANAGERHOIST_SESSION_SESSION_SETTINGS_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace tanagerhoist
{

/// What a route's reads must have seen.
enum class read_consistency
{
    primary,           ///< every commit acknowledged before the read
    bounded_staleness, ///< those acknowledged before a stated age
    read_your_writes   ///< as bounded, and all commits of the own session
};

/// One database name that sessions may open, and what serves it.
struct session_route
{
    std::string group; ///< database group whose servers serve it
    read_consistency consistency = read_consistency::primary;
    milliseconds statement_timeout{1000};
    milliseconds target_latency{1000}; ///< of a whole operation
    milliseconds max_staleness{0};     ///< not used for `primary`
    unsigned priority = 0;             ///< 0 goes first
    bool open = false;                 ///< needs no key
};

/// One group of a primary and its replicas.
struct session_group
{
    unsigned connections = 0;          ///< to each server, of all VMs together
    unsigned synchronous_replicas = 0; ///< replicas that must have a commit
};

/// One workspace's share of the whole fleet.
struct session_workspace
{
    double rate = 0;  ///< operations at once per second
    double burst = 0; ///< operations at once
};

/// One version of what the operator has put in force.
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

    /// Workspace of a key; null if no workspace holds it.
    const std::string* workspace_of(const std::string& key) const
    {
        const auto it = keys.find(key);
        return it == keys.end() ? nullptr : &it->second;
    }
};

} // namespace tanagerhoist

#endif

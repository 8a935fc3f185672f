#ifndef TANAGERHOIST_TOOLS_LOAD_FLEET_CONFIG_HPP
#define TANAGERHOIST_TOOLS_LOAD_FLEET_CONFIG_HPP

#include "settings.pb.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerhoist::load
{

/// Name and listening address of a process.
struct endpoint
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
};

/// Daemons, settings and caller keys of the fleet under test, read from the
/// operators' files.
struct fleet_config
{
    proto::Settings settings;
    std::vector<endpoint> daemons;           ///< in ascending order of name
    std::map<std::string, std::string> keys; ///< ID.SECRET by workspace

    /// Key of a workspace; empty if none was given.
    std::string key_of(const std::string& workspace) const;

    /// First route of `database` that satisfies `fits`; null if there is none.
    const proto::RouteSettings*
    find_route(std::string_view database,
               bool (*fits)(const proto::RouteSettings&)) const;

    /// Backend servers of a database, in file order.
    std::vector<endpoint> servers_of(std::string_view database) const;

    /// Daemon of that name; null if there is none.
    const endpoint* find_daemon(std::string_view name) const;
};

/// Whether `route` is a write that needs a key, that the proxy may not repeat
/// after an unknown outcome and that has no precedence over other requests.
bool is_plain_write(const proto::RouteSettings& route);

/// Whether `route` is a read that needs a key and whose staleness only the
/// session token bounds (no tolerated age).
bool is_token_bound_read(const proto::RouteSettings& route);

/// Reads `directory`/*.ini and `directory`/vm/*.ini, and the keys in
/// `keys_file`, one ID.SECRET per line.
/// @return an error that carries `settings_errors` if the files are invalid
boost::leaf::result<fleet_config>
read_fleet_config(const std::filesystem::path& directory,
                  const std::filesystem::path& keys_file);

} // namespace tanagerhoist::load

#endif

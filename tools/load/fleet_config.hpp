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

/// Where a process listens.
struct endpoint
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
};

/// The daemons and the published settings that load is run against, read from
/// the operators' own files, and the callers' keys.
struct fleet_config
{
    proto::Settings settings;
    std::vector<endpoint> daemons;           ///< in ascending order of name
    std::map<std::string, std::string> keys; ///< ID.SECRET by workspace

    /// Key of a workspace; empty if none was given.
    std::string key_of(const std::string& workspace) const;

    /// First route of `database` that `fits`; null if there is none.
    const proto::RouteSettings*
    find_route(std::string_view database,
               bool (*fits)(const proto::RouteSettings&)) const;

    /// Servers of a database, in the order of the files.
    std::vector<endpoint> servers_of(std::string_view database) const;

    /// Daemon of that name; null if there is none.
    const endpoint* find_daemon(std::string_view name) const;
};

/// A write that needs a key, is not repeated and goes before no other.
bool is_plain_write(const proto::RouteSettings& route);

/// A read that needs a key and tolerates no age of the data.
bool is_token_bound_read(const proto::RouteSettings& route);

/// Reads `directory`/*.ini and `directory`/vm/*.ini, and the keys in
/// `keys_file`, one ID.SECRET a line.
/// @return an error that carries `settings_faults` if the files have faults
boost::leaf::result<fleet_config>
read_fleet_config(const std::filesystem::path& directory,
                  const std::filesystem::path& keys_file);

} // namespace tanagerhoist::load

#endif

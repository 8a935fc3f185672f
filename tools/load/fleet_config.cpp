#include "fleet_config.hpp"

#include "tanagerhoist/settings/ini_reader.hpp"

#include <algorithm>
#include <fstream>

namespace tanagerhoist::load
{
namespace
{

/// Adds each key in `keys_file` under the workspace that it acts for.
void add_keys(const std::filesystem::path& keys_file, fleet_config& fleet)
{
    std::ifstream lines(keys_file);
    for (std::string line; std::getline(lines, line);)
    {
        const auto id = line.substr(0, line.find('.'));
        for (const auto& key : fleet.settings.key())
        {
            if (key.name() == id)
            {
                fleet.keys.emplace(key.workspace(), line);
            }
        }
    }
}

} // namespace

std::string fleet_config::key_of(const std::string& workspace) const
{
    const auto it = keys.find(workspace);
    return it == keys.end() ? std::string() : it->second;
}

const proto::RouteSettings*
fleet_config::find_route(std::string_view database,
                         bool (*fits)(const proto::RouteSettings&)) const
{
    const auto& routes = settings.route();
    const auto it =
        std::find_if(routes.begin(), routes.end(),
                     [&](const proto::RouteSettings& route)
                     { return route.database() == database && fits(route); });
    return it == routes.end() ? nullptr : &*it;
}

std::vector<endpoint> fleet_config::servers_of(std::string_view database) const
{
    std::vector<endpoint> servers;
    for (const auto& server : settings.server())
    {
        if (server.database() == database)
        {
            servers.push_back({server.name(), server.address(),
                               static_cast<std::uint16_t>(server.port())});
        }
    }
    return servers;
}

const endpoint* fleet_config::find_daemon(std::string_view name) const
{
    const auto it =
        std::find_if(daemons.begin(), daemons.end(),
                     [&](const endpoint& at) { return at.name == name; });
    return it == daemons.end() ? nullptr : &*it;
}

bool is_plain_write(const proto::RouteSettings& route)
{
    return route.kind() == "write" && route.idempotent() != "yes" &&
           route.emergency() != "yes" && route.open() != "yes";
}

bool is_token_bound_read(const proto::RouteSettings& route)
{
    return route.kind() == "read" && route.open() != "yes" &&
           route.tolerated_age_ms() == 0;
}

boost::leaf::result<fleet_config>
read_fleet_config(const std::filesystem::path& directory,
                  const std::filesystem::path& keys_file)
{
    fleet_config fleet;
    BOOST_LEAF_ASSIGN(fleet.settings,
                      read_settings(list_settings_files(directory)));
    for (const auto& file : list_settings_files(directory / "vm"))
    {
        BOOST_LEAF_AUTO(vm, read_daemon_settings(file));
        fleet.daemons.push_back(
            {vm.vm().name(), vm.listen().address(),
             static_cast<std::uint16_t>(vm.listen().caller_port())});
    }
    add_keys(keys_file, fleet);
    return fleet;
}

} // namespace tanagerhoist::load

#ifndef TANAGERHOIST_FLEET_SETTINGS_SOURCES_HPP
#define TANAGERHOIST_FLEET_SETTINGS_SOURCES_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace tanagerhoist
{

/// Where a VM may fetch settings, as the coordinator knows it.
struct settings_holder
{
    std::string data_centre;
    std::uint64_t version = 0; ///< of its settings
    bool reporting = false;    ///< it is in contact with the coordinator
    std::size_t fetches = 2;   ///< VMs that may fetch there at a time
};

/// Chooses from which VM another one fetches new settings, so that they cross
/// the way to a data centre once or twice and the store is read by few. In each
/// data centre one VM without them fetches from the coordinator; the others
/// follow from those of their data centre that have them, few at a time from
/// each: a small VM's link is slow. A VM that is told nothing for a while reads
/// the store itself.
/// @param vms all registered VMs by name
/// @param vm the VM that lacks the newest settings
/// @param coordinator name of the VM that decides, which has them
/// @param newest version of the newest settings
/// @return name of the VM to fetch from; empty: none yet
std::string
choose_settings_source(const std::map<std::string, settings_holder>& vms,
                       const std::string& vm, const std::string& coordinator,
                       std::uint64_t newest);

} // namespace tanagerhoist

#endif

#include "tanagerhoist/fleet/settings_sources.hpp"

namespace tanagerhoist
{
std::string
choose_settings_source(const std::map<std::string, settings_holder>& vms,
                       const std::string& vm, const std::string& coordinator,
                       std::uint64_t newest)
{
    const auto self = vms.find(vm);
    if (self == vms.end())
    {
        return {};
    }
    std::size_t before = 0; // VMs that fetch earlier
    bool any_holder = false;
    for (const auto& [name, other] : vms)
    {
        if (!other.reporting || other.data_centre != self->second.data_centre ||
            name == vm)
        {
            continue;
        }
        any_holder = any_holder || other.version >= newest;
        before += other.version < newest && name < vm ? 1 : 0;
    }
    if (!any_holder)
    {
        return before == 0 ? coordinator : std::string();
    }
    for (const auto& [name, other] : vms)
    {
        const bool holds = other.reporting && other.version >= newest &&
                           other.data_centre == self->second.data_centre;
        if (holds && before < other.fetches)
        {
            return name;
        }
        before -= holds ? other.fetches : 0;
    }
    return {};
}

} // namespace tanagerhoist

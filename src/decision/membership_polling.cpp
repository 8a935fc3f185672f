#include "tanagerhoist/decision/membership.hpp"

#include <xxhash.h>

namespace tanagerhoist
{

namespace
{

/// Number of VMs per data centre that poll the platform.
constexpr std::size_t pollers_per_data_centre = 2;

std::uint64_t weight(const std::string& data_centre, const std::string& vm)
{
    return XXH64(vm.data(), vm.size(),
                 XXH64(data_centre.data(), data_centre.size(), 0));
}

} // namespace

bool membership::polls_platform(moment now) const
{
    const std::uint64_t own = weight(self_.data_centre, self_.vm);
    std::size_t ahead = 0;
    for (const auto& each : serving(now))
    {
        if (each.data_centre == self_.data_centre && each.vm != self_.vm &&
            weight(each.data_centre, each.vm) > own)
        {
            ++ahead;
        }
    }
    return ahead < pollers_per_data_centre;
}

} // namespace tanagerhoist

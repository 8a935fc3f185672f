#ifndef TANAGERHOIST_CORE_IDENTITY_HPP
#define TANAGERHOIST_CORE_IDENTITY_HPP

#include <cstdint>
#include <string>

namespace tanagerhoist
{

/// Identity of this process: its VM, the VM's data centre and its incarnation.
struct identity
{
    std::string vm;
    std::string data_centre;
    /// Incarnation, unique over all VMs; 0: not yet allocated.
    std::uint64_t number = 0;
};

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_CORE_IDENTITY_HPP
#define TANAGERHOIST_CORE_IDENTITY_HPP

#include <cstdint>
#include <string>

namespace tanagerhoist
{

/// Who this process is: its VM, where the VM stands, and which life this is.
struct identity
{
    std::string vm;
    std::string data_centre;
    std::uint64_t number = 0; ///< incarnation, unique over all VMs; 0: not yet
};

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_SESSION_CONNECTION_BUDGET_HPP
#define TANAGERHOIST_SESSION_CONNECTION_BUDGET_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstddef>
#include <optional>

namespace tanagerhoist
{

/// What one VM may hold of a backend server's connections, which all VMs share.
struct connection_budget
{
    unsigned connections = 1; ///< most that the VM may hold

    /// How long the VM keeps an idle connection; nullopt: no limit. It is set
    /// if there are fewer connections than VMs, so that idle connections of
    /// some VMs do not keep the others out.
    std::optional<milliseconds> idle_time;
};

/// @param limit connections that the server accepts from all VMs together
/// @param members number of VMs, at least 1
connection_budget connection_budget_of(unsigned limit, std::size_t members);

} // namespace tanagerhoist

#endif

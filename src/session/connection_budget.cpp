#include "tanagerhoist/session/connection_budget.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Connections that the fleet keeps free at each server, for administrative
/// commands and for VMs that have just started.
constexpr unsigned reserved_connections = 2;

/// Long enough for the next statement of a transaction or a retry.
constexpr milliseconds scarce_idle_time{250};

} // namespace

connection_budget connection_budget_of(unsigned limit, std::size_t members)
{
    const auto shared =
        limit > reserved_connections ? limit - reserved_connections : 1;
    connection_budget budget;
    budget.connections =
        std::max<unsigned>(1, shared / static_cast<unsigned>(members));
    if (members > shared)
    {
        budget.idle_time = scarce_idle_time;
    }
    return budget;
}

} // namespace tanagerhoist

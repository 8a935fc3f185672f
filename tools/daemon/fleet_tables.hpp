#ifndef TANAGERHOIST_TOOLS_DAEMON_FLEET_TABLES_HPP
#define TANAGERHOIST_TOOLS_DAEMON_FLEET_TABLES_HPP

namespace tanagerhoist
{

/// Table of the registered VMs; the key is the VM's name.
constexpr const char* member_table = "members";

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_TOOLS_DAEMON_SERVER_METRICS_HPP
#define TANAGERHOIST_TOOLS_DAEMON_SERVER_METRICS_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/proxy.hpp"

#include <ostream>

namespace tanagerhoist
{

/// Prints this VM's statements at servers, and what the coordinator told of
/// those that deviate from their groups, as metrics.
void print_servers(std::ostream& out, moment now, const proxy& from);

} // namespace tanagerhoist

#endif

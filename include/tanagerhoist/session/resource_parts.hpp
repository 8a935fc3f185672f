#ifndef TANAGERHOIST_SESSION_RESOURCE_PARTS_HPP
#define TANAGERHOIST_SESSION_RESOURCE_PARTS_HPP

#include <cstddef>

// Parts of the process's memory and descriptors that are not its clients'.
namespace tanagerhoist
{

/// Connections at once to each port that answers HTTP requests.
/// @param descriptors that the process may open
std::size_t most_http_connections(std::size_t descriptors);

/// Bytes that connections to servers may keep for ended sessions.
/// @param memory bytes that the process may use
std::size_t most_state_at_servers(std::size_t memory);

} // namespace tanagerhoist

#endif

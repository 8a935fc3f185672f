#include "tanagerhoist/session/resource_parts.hpp"

#include <algorithm>

namespace tanagerhoist
{

std::size_t most_http_connections(std::size_t descriptors)
{
    constexpr std::size_t divisor = 128;
    constexpr std::size_t least = 8;
    return std::max(descriptors / divisor, least);
}

std::size_t most_state_at_servers(std::size_t memory)
{
    constexpr std::size_t divisor = 16;
    return memory / divisor;
}

} // namespace tanagerhoist

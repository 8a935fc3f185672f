#ifndef TANAGERHOIST_SESSION_RETRY_SPREAD_HPP
#define TANAGERHOIST_SESSION_RETRY_SPREAD_HPP

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace tanagerhoist
{

/// Part from 0 to 1 that spreads the retries of refused requests; the same for
/// a request wherever it is refused.
inline double retry_part(const std::string& request)
{
    constexpr std::uint64_t steps = 1024;
    const auto hash = XXH64(request.data(), request.size(), 0);
    return static_cast<double>(hash % steps) / steps;
}

} // namespace tanagerhoist

#endif

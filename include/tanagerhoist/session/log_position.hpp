#ifndef TANAGERHOIST_SESSION_LOG_POSITION_HPP
#define TANAGERHOIST_SESSION_LOG_POSITION_HPP

#include <cstdint>
#include <tuple>

namespace tanagerhoist
{

/// Position in a group's replicated log: the term in which the entry was
/// written, and the entry's number, which keeps increasing across terms.
struct log_position
{
    std::uint64_t term = 0;
    std::uint64_t number = 0;
};

inline bool operator<(const log_position& a, const log_position& b)
{
    return std::tie(a.term, a.number) < std::tie(b.term, b.number);
}

inline bool operator==(const log_position& a, const log_position& b)
{
    return a.term == b.term && a.number == b.number;
}

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_SESSION_CLOSE_CAUSE_HPP
#define TANAGERHOIST_SESSION_CLOSE_CAUSE_HPP

#include <cstddef>

namespace tanagerhoist
{

/// Why a client was closed that did not ask for it.
enum class close_cause
{
    memory,         ///< the clients together hold too much
    descriptors,    ///< to make room for another one
    refused,        ///< no other client could make room for it
    line_timeout,   ///< did not end a line that it had begun
    answer_timeout, ///< did not accept an answer
    start_timeout   ///< did not start a session
};
constexpr std::size_t close_causes = 6;

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_SESSION_WAITING_ORDER_HPP
#define TANAGERHOIST_SESSION_WAITING_ORDER_HPP

#include "tanagerhoist/core/time.hpp"

namespace tanagerhoist
{

/// Inputs to the scheduling order for one queued statement.
struct queued_statement
{
    moment due{}; ///< target time of the answer
    unsigned priority = 0;
    moment arrived{};
};

/// Whether `a` is scheduled before `b`. Statements that are not yet late come
/// first, earliest deadline first. Late ones follow by priority and arrival, so
/// that the backlog of a burst does not make all later statements late too.
inline bool runs_before(const queued_statement& a, const queued_statement& b,
                        moment now)
{
    const bool a_late = a.due <= now;
    const bool b_late = b.due <= now;
    if (a_late != b_late)
    {
        return b_late;
    }
    if (a_late && a.priority != b.priority)
    {
        return a.priority < b.priority;
    }
    return a_late ? a.arrived < b.arrived : a.due < b.due;
}

} // namespace tanagerhoist

#endif

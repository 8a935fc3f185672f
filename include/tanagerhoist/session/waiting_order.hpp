#ifndef TANAGERHOIST_SESSION_WAITING_ORDER_HPP
#define TANAGERHOIST_SESSION_WAITING_ORDER_HPP

#include "tanagerhoist/core/time.hpp"

namespace tanagerhoist
{

/// What the order of waiting needs to know of one statement.
struct queued_statement
{
    moment due{}; ///< aim: it is on time if it is answered before
    unsigned priority = 0;
    moment arrived{};
};

/// Whether `a` goes before `b`. Statements that can still be on time go first,
/// the one with the nearest aim before the others; those that are late follow
/// by priority and arrival, so that a burst does not make everybody late.
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

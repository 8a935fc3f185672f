#ifndef TANAGERHOIST_SESSION_WAITING_ORDER_HPP
#define TANAGERHOIST_SESSION_WAITING_ORDER_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/proxy_transport.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tanagerhoist
{

/// Inputs to the scheduling order for one queued statement.
struct queued_statement
{
    moment due{}; ///< target time of the answer
    unsigned priority = 0;
    moment arrived{};
    session_id id = 0;
    std::string_view workspace{};
    double weight = 1; ///< of the workspace, positive
    moment expires{};  ///< it is not run from then on
};

/// Whether `a` is scheduled before `b` of the same workspace. Statements that
/// are not yet late come first, earliest deadline first. Late ones follow by
/// priority and arrival, so that the backlog of a burst does not make all later
/// statements late too.
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

/// Scheduling order of the statements that wait for the servers of one group.
///
/// Statements of workspaces within their fair share come first, in the order of
/// `runs_before`: a workspace that floods does not delay them, and an urgent
/// one is not behind a slack one. What exceeds a share follows by start-time
/// fair queueing over the weights. A workspace that used less than its share
/// has a small credit; what it used while there was room for all is not held
/// against it.
class waiting_order
{
public:
    /// Sorts `waiting`, first to be assigned first.
    /// @param answered when a statement that is assigned now is probably
    ///   answered. One whose target is before then is late already: serving it
    ///   first would make the next one miss its target by the same time.
    void sort(moment answered, std::vector<queued_statement>& waiting) const;

    /// Charges a workspace for a statement that a server has been assigned to.
    void charge(const queued_statement& assigned);

private:
    /// Virtual start time of the workspace's next statement.
    double start_of(std::string_view workspace, double span) const;
    void forget_settled();

    std::unordered_map<std::string, double> starts_; ///< by workspace
    double virtual_time_ = 0;
};

} // namespace tanagerhoist

#endif

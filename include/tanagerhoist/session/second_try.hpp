#ifndef TANAGERHOIST_SESSION_SECOND_TRY_HPP
#define TANAGERHOIST_SESSION_SECOND_TRY_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/answer_times.hpp"

namespace tanagerhoist
{

/// A read without an effect whose answer a server owes.
struct overdue_read
{
    moment sent{};         ///< the line that is unanswered
    moment last_contact{}; ///< of the server with this VM, before or after it
    moment expires{};
    double slowness = 1; ///< of the server's answers, against others' there
};

/// Whether to give a read up at its server and try it at another one.
///
/// Breaking off a statement wastes what the server has done, so a server that
/// is merely slow is not given up: either it has sent nothing at all for
/// longer than nearly all answers of that kind take there, or this answer alone
/// takes several times as long while others come. Nothing is given up without
/// time left for the second try, or before the usual times are known.
/// @param times of answers of its kind, at all servers of the group
bool is_second_try_due(moment now, const overdue_read& read,
                       const answer_times& times);

/// Limits second tries to a small share of all statements, so that servers
/// which are all slow don't get more work from it.
class second_try_budget
{
public:
    void add_statement();

    /// @return whether a second try is allowed; it is then counted
    bool take();

private:
    static constexpr double share = 0.05; ///< of all statements
    static constexpr double most = 5;     ///< at once

    double left_ = most;
};

} // namespace tanagerhoist

#endif

#include "tanagerhoist/session/drain_schedule.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Parts of the grace period that are kept for deregistration, and for what is
/// left after it.
constexpr milliseconds leaving_time{900};
constexpr milliseconds end_reserve{300};

/// From the choice of a server to the sending, and from an answer's arrival to
/// the check of all statements: a connection may have to be opened.
constexpr milliseconds statement_margin{100};

/// Between two messages of a session that has yet to ask for its first
/// operation.
constexpr milliseconds first_operation_time{500};

/// For clients that connect as the balancer takes the VM out.
constexpr milliseconds last_arrivals_time{200};

} // namespace

drain_schedule::drain_schedule(moment start, milliseconds grace)
    : closes_idle_(start + balancer_detection_time),
      ends_transactions_(start + grace / 2),
      leaves_(start + std::max(grace - leaving_time, milliseconds(0))),
      ends_(start + std::max(grace - end_reserve, milliseconds(0)))
{
}

bool drain_schedule::takes_statement(moment now, microseconds expected) const
{
    return now + statement_margin + expected < leaves_;
}

bool drain_schedule::closes_session(moment now, moment last, bool used) const
{
    if (now < closes_idle_)
    {
        return false;
    }
    return used || now >= last + first_operation_time || now >= leaves_;
}

bool drain_schedule::is_over(moment now, bool has_clients) const
{
    const bool unused =
        !has_clients && now >= closes_idle_ + last_arrivals_time;
    return unused || now >= leaves_;
}

} // namespace tanagerhoist

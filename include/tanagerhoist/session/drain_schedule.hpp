#ifndef TANAGERHOIST_SESSION_DRAIN_SCHEDULE_HPP
#define TANAGERHOIST_SESSION_DRAIN_SCHEDULE_HPP

#include "tanagerhoist/core/time.hpp"

namespace tanagerhoist
{

/// Time within which the load balancer takes a VM out that is not ready: two
/// failed probes, one second apart.
constexpr milliseconds balancer_detection_time{2300};

/// What a VM that was asked to stop still does, and until when.
///
/// While the balancer has no other VM, clients keep coming. A statement is
/// taken as long as its answer can be expected before the VM leaves; all that
/// are taken have an answer by then.
class drain_schedule
{
public:
    /// @param start when the VM was asked to stop
    /// @param grace after which the process is killed
    drain_schedule(moment start, milliseconds grace);

    /// From when idle sessions are closed.
    moment closes_idle() const { return closes_idle_; }

    /// From when open transactions that wait for their client are rolled back.
    moment ends_transactions() const { return ends_transactions_; }

    /// By when every statement has been answered.
    moment leaves() const { return leaves_; }

    /// By when the process ends even if clients have not accepted their
    /// answers.
    moment ends() const { return ends_; }

    /// Whether a transaction that is begun now has time.
    bool takes_transaction(moment now) const
    {
        return now < ends_transactions_;
    }

    /// Whether a statement that is sent to a server now can be expected to be
    /// answered in time.
    /// @param expected time of its answer
    bool takes_statement(moment now, microseconds expected) const;

    /// Whether a session without a statement or transaction is closed. One that
    /// has just begun has time to ask for its first operation.
    /// @param last when it began, or was answered last
    /// @param used whether it has asked for an operation
    bool closes_session(moment now, moment last, bool used) const;

    /// Whether the VM deregisters now.
    /// @param has_clients whether any is connected
    bool is_over(moment now, bool has_clients) const;

private:
    moment closes_idle_;
    moment ends_transactions_;
    moment leaves_;
    moment ends_;
};

} // namespace tanagerhoist

#endif

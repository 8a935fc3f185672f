#ifndef TANAGERHOIST_SESSION_TRANSACTION_STATE_HPP
#define TANAGERHOIST_SESSION_TRANSACTION_STATE_HPP

namespace tanagerhoist
{

/// Where a session, or a server's connection, stands.
enum class transaction_state
{
    none, ///< outside a transaction
    open,
    failed ///< only its end is accepted
};

} // namespace tanagerhoist

#endif

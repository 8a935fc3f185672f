#ifndef TANAGERHOIST_SESSION_TRANSACTION_STATE_HPP
#define TANAGERHOIST_SESSION_TRANSACTION_STATE_HPP

namespace tanagerhoist
{

/// Transaction state of a session or a server connection.
enum class transaction_state
{
    none, ///< outside a transaction
    open,
    failed ///< accepts only commit or rollback
};

} // namespace tanagerhoist

#endif

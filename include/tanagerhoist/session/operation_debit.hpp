#ifndef TANAGERHOIST_SESSION_OPERATION_DEBIT_HPP
#define TANAGERHOIST_SESSION_OPERATION_DEBIT_HPP

#include <utility>

namespace tanagerhoist
{

/// An operation that a session has taken from its workspace's limit, and
/// whether it may be given back.
///
/// The limit counts what arrives at servers. So an operation is given back only
/// if none of its statements was sent to a server, or the server that got one
/// said that it did not run it. While an answer is missing, the statement
/// counts as run.
class operation_debit
{
public:
    /// Notes that an operation was taken.
    void take() { state_ = state::unsent; }

    /// Notes that a statement of the operation is sent to a server. If one that
    /// was sent before has no answer, that one may have run.
    void note_sent()
    {
        if (state_ != state::none)
        {
            state_ = state_ == state::unsent ? state::sent : state::used;
        }
    }

    /// Notes that the server did not run the statement that was sent last.
    void note_not_run()
    {
        if (state_ == state::sent)
        {
            state_ = state::unsent;
        }
    }

    /// Notes that a server has run a statement, or may have.
    void note_used()
    {
        if (state_ != state::none)
        {
            state_ = state::used;
        }
    }

    /// Ends the operation.
    /// @return whether it is to be given back
    bool end() { return std::exchange(state_, state::none) == state::unsent; }

private:
    enum class state
    {
        none,   ///< nothing was taken
        unsent, ///< nothing has run at a server
        sent,   ///< a statement was sent; nothing else has run
        used
    };

    state state_ = state::none;
};

} // namespace tanagerhoist

#endif

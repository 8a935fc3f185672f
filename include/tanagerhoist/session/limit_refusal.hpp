#ifndef TANAGERHOIST_SESSION_LIMIT_REFUSAL_HPP
#define TANAGERHOIST_SESSION_LIMIT_REFUSAL_HPP

#include "tanagerhoist/core/time.hpp"

namespace tanagerhoist
{

/// Why no operation of a workspace's limit is left for a statement.
enum class limit_cause
{
    over_rate,     ///< the workspace has used its limit up
    no_grant,      ///< the coordinator has not granted one in time
    no_coordinator ///< no VM grants operations at present
};

/// A statement that a workspace's limit did not admit.
struct limit_refusal
{
    limit_cause cause = limit_cause::over_rate;
    milliseconds retry{0}; ///< when the caller should come back
};

} // namespace tanagerhoist

#endif

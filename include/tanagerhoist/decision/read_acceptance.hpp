#ifndef TANAGERHOIST_DECISION_READ_ACCEPTANCE_HPP
#define TANAGERHOIST_DECISION_READ_ACCEPTANCE_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"

namespace tanagerhoist
{

/// Whether a server's answer to a read may be returned to the session.
///
/// The answer must cover the session's token, whatever age the route tolerates,
/// and must be provably no older than that age. The age also grows at a primary
/// that does not know that it was superseded.
/// @param reply the server's answer
/// @param token log point that the session has seen of this database; empty if
///        it has seen nothing
/// @param has_token false for a session that may have written but lost its
///        token: only the primary's answer is accepted, and the caller must
///        also confirm it (`write_confirmer`)
/// @param tolerated_age of the route; 0 if only the token restricts the read
/// @param from_primary whether the server answered as primary
bool is_read_acceptable(const proto::ExecuteReply& reply,
                        const proto::LogPoint& token, bool has_token,
                        milliseconds tolerated_age, bool from_primary);

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_DECISION_READ_ACCEPTANCE_HPP
#define TANAGERHOIST_DECISION_READ_ACCEPTANCE_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"

namespace tanagerhoist
{

/// Whether a server's answer to a read may go to the session.
///
/// The answer must reflect everything that the token has seen, whatever age
/// the route tolerates, and must be provably no older than that age. A primary
/// that was superseded unawares shows in the age, too.
/// @param reply answer as the server gave it
/// @param token what the session has seen of this database; empty for a
///        session that has seen nothing
/// @param has_token false for a session that may have written something, but
///        lost its token: only the primary's answer passes, and the caller of
///        this function needs it confirmed besides (`write_confirmer`)
/// @param tolerated_age of the route; 0 when only the token bounds the read
/// @param from_primary whether the server answered as primary
bool is_read_acceptable(const proto::ExecuteReply& reply,
                        const proto::LogPoint& token, bool has_token,
                        milliseconds tolerated_age, bool from_primary);

} // namespace tanagerhoist

#endif

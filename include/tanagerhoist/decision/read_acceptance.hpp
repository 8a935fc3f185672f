#ifndef TANAGERHOIST_DECISION_READ_ACCEPTANCE_HPP
#define TANAGERHOIST_DECISION_READ_ACCEPTANCE_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"

namespace tanagerhoist
{

/// Whether a server's answer to a read may go to the session.
///
/// With a token, the answer must reflect everything the token has seen,
/// whatever age the route tolerates. Without one, a replica's answer must be
/// provably no older than `tolerated_age`; the primary's always passes here,
/// but a known session that lost its token needs it confirmed besides.
/// @param reply answer as the server gave it
/// @param token what the session has seen of this database
/// @param has_token whether `token` means anything
/// @param tolerated_age of the route; 0 when only the token bounds the read
/// @param from_primary whether the server answered as primary of its term
bool acceptable(const proto::ExecuteReply& reply, const proto::LogPoint& token,
                bool has_token, milliseconds tolerated_age, bool from_primary);

} // namespace tanagerhoist

#endif

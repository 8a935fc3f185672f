#ifndef TANAGERHOIST_RECORD_ACTION_DIGEST_HPP
#define TANAGERHOIST_RECORD_ACTION_DIGEST_HPP

#include "messages.pb.h"

#include <cstdint>
#include <vector>

namespace tanagerhoist
{

/// Returns a digest of `actions` that depends on their contents and order. It
/// is the same in every run of the same build.
std::uint64_t digest_of(const std::vector<proto::Action>& actions);

} // namespace tanagerhoist

#endif

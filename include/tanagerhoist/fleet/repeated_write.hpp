#ifndef TANAGERHOIST_FLEET_REPEATED_WRITE_HPP
#define TANAGERHOIST_FLEET_REPEATED_WRITE_HPP

#include "tanagerhoist/fleet/row_store.hpp"

#include <functional>

namespace tanagerhoist
{

/// Writes until the outcome is known. A write that was not answered may still
/// be performed seconds later; repeated under its own conditions it is
/// performed once, and after the answer no repeat of it can be any more.
/// @param change puts a row that one of its conditions names, first
/// @param goes_on asked before each repeat, after a pause
/// @return `done` also if an earlier attempt was performed; what the last
///   attempt returned if the repeats were ended
store_answer write_until_answered(row_store& store,
                                  const store_transaction& change,
                                  const std::function<bool()>& goes_on);

} // namespace tanagerhoist

#endif

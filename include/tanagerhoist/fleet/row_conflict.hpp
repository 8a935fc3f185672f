#ifndef TANAGERHOIST_FLEET_ROW_CONFLICT_HPP
#define TANAGERHOIST_FLEET_ROW_CONFLICT_HPP

#include "tanagerhoist/fleet/row_store.hpp"

#include <cstdint>

namespace tanagerhoist
{

/// Version of a row after a write that failed by a conflict. The answer need
/// not list rows that do not exist: such a row is taken as removed if no other
/// row explains the conflict.
/// @param expected one of the conditions of the write
std::uint64_t version_after_conflict(const store_transaction& change,
                                     const store_answer& conflict,
                                     const store_row& expected);

} // namespace tanagerhoist

#endif

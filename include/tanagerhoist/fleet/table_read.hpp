#ifndef TANAGERHOIST_FLEET_TABLE_READ_HPP
#define TANAGERHOIST_FLEET_TABLE_READ_HPP

#include "tanagerhoist/fleet/row_store.hpp"

#include <string>

namespace tanagerhoist
{

/// Reads a full table page by page. Version and times are those of the first
/// call, so a watch from that version misses no change.
/// @return all rows, or the answer to the first call that failed
store_answer read_table(row_store& store, const std::string& table);

} // namespace tanagerhoist

#endif

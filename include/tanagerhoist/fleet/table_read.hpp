#ifndef TANAGERHOIST_FLEET_TABLE_READ_HPP
#define TANAGERHOIST_FLEET_TABLE_READ_HPP

#include "tanagerhoist/fleet/row_store.hpp"

#include <string>

namespace tanagerhoist
{

/// Reads a whole table, in as many calls as it takes. Version and times are
/// those of the first call, so a watch from there misses nothing.
/// @return the answer of the call that failed, if one did
store_answer read_table(row_store& store, const std::string& table);

} // namespace tanagerhoist

#endif

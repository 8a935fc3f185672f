#ifndef TANAGERHOIST_FLEET_COORDINATOR_WRITES_HPP
#define TANAGERHOIST_FLEET_COORDINATOR_WRITES_HPP

#include "fleet.pb.h"
#include "tanagerhoist/fleet/coordinator_lease.hpp"
#include "tanagerhoist/fleet/row_store.hpp"

#include <cstdint>
#include <string>

namespace tanagerhoist
{

// What the coordinator writes to the store. The store refuses each of these
// once a later term has begun.

/// Writes a group's lead if its row has the version.
store_transaction lead_change(const coordinator_term& term,
                              const proto::GroupLead& lead,
                              std::uint64_t version);

/// Removes a VM's row if it has the version.
store_transaction vm_removal(const coordinator_term& term,
                             const std::string& vm, std::uint64_t version);

} // namespace tanagerhoist

#endif

#include "tanagerhoist/fleet/coordinator_writes.hpp"

#include "tanagerhoist/fleet/fleet_members.hpp"
#include "tanagerhoist/fleet/lead_table.hpp"

namespace tanagerhoist
{

store_transaction lead_change(const coordinator_term& term,
                              const proto::GroupLead& lead,
                              std::uint64_t version)
{
    const auto key = group_prefix + lead.group();
    store_transaction change;
    change.expected.push_back(coordinator_lease::fence(term));
    change.expected.push_back({fleet_table, key, "", version, false});
    change.puts.push_back(
        {fleet_table, key, lead.SerializeAsString(), 0, false});
    return change;
}

store_transaction vm_removal(const coordinator_term& term,
                             const std::string& vm, std::uint64_t version)
{
    store_transaction change;
    change.expected.push_back(coordinator_lease::fence(term));
    change.expected.push_back({member_table, vm, "", version, false});
    change.removals.push_back({member_table, vm, "", 0, false});
    return change;
}

} // namespace tanagerhoist

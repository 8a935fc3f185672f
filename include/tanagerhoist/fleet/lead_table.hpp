#ifndef TANAGERHOIST_FLEET_LEAD_TABLE_HPP
#define TANAGERHOIST_FLEET_LEAD_TABLE_HPP

#include "fleet.pb.h"
#include "tanagerhoist/fleet/row_store.hpp"
#include "tanagerhoist/fleet/store_era.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Table of the groups' leads; the key is the prefix and the group.
constexpr const char* fleet_table = "fleet";
constexpr const char* group_prefix = "db.";

/// A group's row in the store and its version.
struct group_lead_row
{
    proto::GroupLead lead;
    std::uint64_t version = 0;  ///< 0: the store has no row
    std::uint64_t revision = 0; ///< of the table, at the row's last change
};

/// Leads of all groups as one VM knows them, and the versions of their rows.
/// If the store comes back older, the rows go back and the known leads don't.
/// A lead is confirmed once the coordinator has written it in the store's
/// present era; until then the store may have lost a newer one.
class lead_table
{
public:
    /// Applies a lead and the version of its row, as read or told by a peer.
    /// @return whether the lead is new
    bool apply(const proto::GroupLead& lead, std::uint64_t version);

    /// Applies a lead that a peer knows; the version of its row is unknown.
    /// @return whether the lead is new
    bool learn(const proto::GroupLead& lead);

    /// Notes that a read of the full table has shown only the given groups.
    /// @param version of the store at the read
    void forget_rows_except(const std::vector<std::string>& groups,
                            std::uint64_t version);

    /// The row of a group; null if it is unknown.
    const group_lead_row* find(const std::string& group) const;

    const std::map<std::string, group_lead_row>& rows() const { return rows_; }

    /// Number of changes of this table so far.
    std::uint64_t revision() const { return revision_; }

    bool is_confirmed(const std::string& group, store_era era) const;
    bool are_confirmed(store_era era) const;

    /// Conditions that no row has changed, for at most `limit` groups.
    std::vector<store_row> conditions(std::size_t limit) const;

private:
    group_lead_row& changed_row(const std::string& group);

    std::map<std::string, group_lead_row> rows_; ///< by group
    std::uint64_t revision_ = 0;
};

} // namespace tanagerhoist

#endif

#include "tanagerhoist/fleet/lead_table.hpp"

#include <algorithm>

namespace tanagerhoist
{

/// Counts a change of the table, by which the row is newer than all others.
group_lead_row& lead_table::changed_row(const std::string& group)
{
    auto& row = rows_[group];
    row.revision = ++revision_;
    return row;
}

bool lead_table::apply(const proto::GroupLead& lead, std::uint64_t version)
{
    if (version > rows_[lead.group()].version)
    {
        changed_row(lead.group()).version = version;
    }
    return learn(lead);
}

bool lead_table::learn(const proto::GroupLead& lead)
{
    if (lead.epoch() <= rows_[lead.group()].lead.epoch())
    {
        return false;
    }
    changed_row(lead.group()).lead = lead;
    return true;
}

void lead_table::forget_rows_except(const std::vector<std::string>& groups,
                                    std::uint64_t version)
{
    for (auto& [group, row] : rows_)
    {
        const bool shown =
            std::find(groups.begin(), groups.end(), group) != groups.end();
        if (!shown && row.version != 0 && row.version < version)
        {
            changed_row(group).version = 0;
        }
    }
}

const group_lead_row* lead_table::find(const std::string& group) const
{
    const auto it = rows_.find(group);
    return it == rows_.end() ? nullptr : &it->second;
}

bool lead_table::is_confirmed(const std::string& group, store_era era) const
{
    const auto* row = find(group);
    return row == nullptr || !is_of_ended_era(row->lead.epoch(), era);
}

bool lead_table::are_confirmed(store_era era) const
{
    return std::all_of(rows_.begin(), rows_.end(),
                       [this, era](const auto& entry)
                       { return is_confirmed(entry.first, era); });
}

std::vector<store_row> lead_table::conditions(std::size_t limit) const
{
    std::vector<store_row> expected;
    for (const auto& [group, row] : rows_)
    {
        if (expected.size() < limit)
        {
            expected.push_back(
                {fleet_table, group_prefix + group, "", row.version, false});
        }
    }
    return expected;
}

} // namespace tanagerhoist

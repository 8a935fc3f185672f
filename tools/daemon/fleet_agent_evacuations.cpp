#include "fleet_agent.hpp"

#include "platform/operator_config.hpp"

#include <algorithm>

// Evacuated data centres: what the operator's table and the coordinator say.
namespace tanagerhoist
{

/// @param full whether this VM's copy is complete, as after a read of the full
///   table; else the rows change the newest list
void fleet_agent::apply_evacuation_rows(const std::vector<store_row>& rows,
                                        bool full)
{
    const auto version = config_watch_.rows.version();
    const auto before = evacuations_.names();
    const bool changed =
        full ? evacuations_.use(now_(), version, evacuations_in_copy())
             : evacuations_.use_changes(now_(), version,
                                        evacuation_changes(rows));
    if (changed)
    {
        apply_evacuations(before);
    }
}

evacuations::name_set fleet_agent::evacuations_in_copy() const
{
    evacuations::name_set listed;
    for (const auto& key : config_watch_.rows.keys())
    {
        if (const auto name = platform::decode_evacuation_key(key))
        {
            listed.insert(*name);
        }
    }
    return listed;
}

std::vector<evacuation_change>
fleet_agent::evacuation_changes(const std::vector<store_row>& rows)
{
    std::vector<evacuation_change> changes;
    for (const auto& row : rows)
    {
        if (const auto name = platform::decode_evacuation_key(row.key))
        {
            changes.push_back({*name, row.version, row.removed});
        }
    }
    return changes;
}

void fleet_agent::use_evacuations(const proto::FleetView& view)
{
    const auto before = evacuations_.names();
    if (evacuations_.use(now_(), view.evacuations_version(),
                         {view.evacuated().begin(), view.evacuated().end()}))
    {
        apply_evacuations(before);
    }
}

void fleet_agent::end_lapsed_evacuations()
{
    const auto before = evacuations_.names();
    if (evacuations_.end_lapsed(now_()))
    {
        apply_evacuations(before);
    }
}

void fleet_agent::add_evacuations(proto::FleetView& view) const
{
    view.set_evacuations_version(evacuations_.version());
    for (const auto& name : evacuations_.names())
    {
        view.add_evacuated(name);
    }
}

/// Makes a change take effect here, and passes it on if this VM is the
/// coordinator.
void fleet_agent::apply_evacuations(const evacuations::name_set& before)
{
    log_evacuations(before);
    evacuations_.mark(servers_);
    log_evacuated_groups();
    proxy_.use_servers(now_(), servers_);
    send_views();
}

void fleet_agent::log_evacuations(const evacuations::name_set& before)
{
    const auto after = evacuations_.names();
    const auto version = std::to_string(evacuations_.version());
    for (const auto& name : after)
    {
        if (before.count(name) == 0)
        {
            const auto count =
                std::count_if(servers_.begin(), servers_.end(),
                              [&name](const auto& entry)
                              { return entry.second.data_centre == name; });
            lines_.write(log_level::change, "evacuation_begun",
                         {{"data_centre", name},
                          {"servers", std::to_string(count)},
                          {"version", version}});
        }
    }
    for (const auto& name : before)
    {
        if (after.count(name) == 0)
        {
            lines_.write(log_level::change, "evacuation_ended",
                         {{"data_centre", name}, {"version", version}});
        }
    }
}

/// Logs the groups that can't be served because all their servers are in
/// evacuated data centres.
void fleet_agent::log_evacuated_groups()
{
    std::map<std::string, bool> evacuated;
    for (const auto& [id, server] : servers_)
    {
        const auto [entry, added] = evacuated.try_emplace(server.group, true);
        entry->second = entry->second && server.is_evacuated();
    }
    for (const auto& [group, all] : evacuated)
    {
        if (all)
        {
            lines_.write(log_level::change, "group_evacuated",
                         {{"group", group}});
        }
    }
}

} // namespace tanagerhoist

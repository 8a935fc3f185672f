#include "fleet_agent.hpp"

#include "platform/operator_config.hpp"

// The list of servers: changes from the store, and from and for other VMs.
namespace tanagerhoist
{
namespace
{

/// Most rows of the server list in one view, so that it fits in a datagram.
constexpr std::size_t max_rows_per_view = 40;

} // namespace

void fleet_agent::handle_server_rows(const std::vector<store_row>& rows,
                                     bool restored)
{
    if (restored)
    {
        const auto check = [this](const store_row& row)
        { return goes_back(row); };
        apply_server_rows(held_servers_.hold(now_(), rows, check));
    }
    else
    {
        apply_server_rows(held_servers_.pass(rows));
    }
}

/// Whether a row of a restored store contradicts what is known of a server: it
/// is gone though it ran, there though it had left, or ready though draining.
bool fleet_agent::goes_back(const store_row& row) const
{
    const auto known = servers_.find(row.key);
    if (known == servers_.end())
    {
        return !row.removed && left_servers_.count(row.key) != 0;
    }
    if (row.removed)
    {
        return true;
    }
    std::string ignored; // logged when the row takes effect
    const auto server = platform::decode_server(row.key, row.value, ignored);
    return server && known->second.draining && !server->draining &&
           server->born_ms == known->second.born_ms;
}

/// Applies rows that went back with the store and were not written again.
void fleet_agent::apply_held_servers()
{
    const auto due = held_servers_.take_due(now_());
    if (!due.empty())
    {
        apply_server_rows(due);
    }
}

void fleet_agent::apply_server_rows(const std::vector<store_row>& rows)
{
    for (const auto& row : rows)
    {
        servers_.erase(row.key);
        if (row.removed)
        {
            left_servers_.insert(row.key);
            continue;
        }
        left_servers_.erase(row.key);
        std::string reason;
        auto server = platform::decode_server(row.key, row.value, reason);
        if (server)
        {
            servers_[row.key] = std::move(*server);
        }
        else
        {
            lines_.write(log_level::change, "server_entry_unreadable",
                         {{"server", row.key}, {"cause", reason}});
        }
    }
    evacuations_.mark(servers_);
    proxy_.use_servers(now_(), servers_);
}

/// Adds the changes that a VM's server list lacks, if they are known and few.
void fleet_agent::add_server_changes(const std::string& vm,
                                     proto::FleetView& view)
{
    const auto from = coordinator_.servers_version(vm);
    const auto& rows = server_watch_.rows;
    const auto changes = rows.changes_since(from);
    if (!changes || changes->size() > max_rows_per_view ||
        from >= rows.version())
    {
        return; // the VM reads them itself if it stays out of date
    }
    view.set_servers_from(from);
    view.set_servers_to(rows.version());
    for (const auto& row : *changes)
    {
        auto& passed = *view.add_server_rows();
        passed.set_key(row.key);
        passed.set_value(row.value);
        passed.set_version(row.version);
        passed.set_removed(row.removed);
    }
}

void fleet_agent::apply_server_changes(const proto::FleetView& view)
{
    std::vector<store_row> rows;
    for (const auto& passed : view.server_rows())
    {
        rows.push_back({platform::server_table, passed.key(), passed.value(),
                        passed.version(), passed.removed()});
    }
    const auto changed = server_watch_.rows.apply_changes(
        view.servers_from(), view.servers_to(), rows);
    if (!changed.empty())
    {
        apply_server_rows(held_servers_.pass(changed));
    }
}

} // namespace tanagerhoist

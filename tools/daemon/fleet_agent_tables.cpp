#include "fleet_agent.hpp"

#include "platform/operator_config.hpp"
#include "tanagerhoist/adapter/http_stream.hpp"
#include "tanagerhoist/fleet/table_read.hpp"

#include <utility>

// Following the tables of the settings and of the servers.
namespace tanagerhoist
{
namespace
{

// Longest wait of a watch call; other VMs receive changes from the coordinator.
constexpr milliseconds member_watch_wait{15000};

/// Most rows of the server list in one view, so that it fits in a datagram.
constexpr std::size_t max_rows_per_view = 40;

/// Pause after a change, so that changes close together are read in one call.
constexpr milliseconds batch_interval{200};

/// Interval at which a VM that receives changes from the coordinator checks
/// whether it still does.
constexpr milliseconds contact_check_interval{300};

/// Time for this VM's own watch to deliver changes that the coordinator has
/// seen, before the watch is refreshed, and then before a peer is asked.
constexpr milliseconds watch_grace_time{600};
constexpr milliseconds refresh_grace_time{1100};

constexpr milliseconds fetch_timeout{1000};

} // namespace

store_answer fleet_agent::poll_store(table_watch& watch, bool known,
                                     bool at_once)
{
    if (!known)
    {
        return read_table(watch.store.rows, watch.table);
    }
    const auto wait = is_coordinator() ? watch.holder_wait : member_watch_wait;
    return watch.store.rows.watch(watch.table, watch.rows.version(),
                                  at_once ? milliseconds(0) : wait);
}

/// Whether the coordinator currently sends the table's changes to this VM.
bool fleet_agent::is_updated_by_coordinator(const table_watch& watch)
{
    return watch.updated_by_coordinator && !watch.refresh_requested &&
           !is_coordinator() &&
           now_() < messages_.last_contact() + coordinator_timeout;
}

/// Reads a table and follows its changes for as long as the process lives.
void fleet_agent::follow_table(table_watch& watch)
{
    bool known = false;
    bool lost = false;
    bool resumed = false;
    auto retry = store_backoff();
    while (!leaving_)
    {
        if (known && is_updated_by_coordinator(watch))
        {
            resumed = true;
            pause(contact_check_interval);
            continue;
        }
        // The first call after a failure returns without waiting, to catch up
        // immediately.
        const bool at_once = lost || watch.refresh_requested || resumed;
        resumed = false;
        watch.refresh_requested = false;
        const auto answer = poll_store(watch, known, at_once);
        note_era(answer.era);
        if (answer.result == store_result::done)
        {
            if (lost)
            {
                lines_.write(log_level::change, "store_regained",
                             {{"table", watch.table}});
            }
            lost = false;
            retry.reset();
            log_older_table(watch, answer);
            const auto before = watch.rows.version();
            const bool restored =
                before != 0 && era_of(answer.version) > era_of(before);
            watch.handle(watch.rows.apply(answer, !known), restored);
            known = true;
            pause(answer.rows.empty() ? milliseconds(0) : batch_interval);
            continue;
        }
        if (watch.refresh_requested)
        {
            continue; // cancelled by request_refresh()
        }
        if (answer.result == store_result::compacted ||
            answer.result == store_result::restored)
        {
            lines_.write(log_level::change, "store_history_gone",
                         {{"table", watch.table},
                          {"version", std::to_string(watch.rows.version())},
                          {"era", std::to_string(answer.era)}});
            known = false;
            continue;
        }
        if (!lost)
        {
            lines_.write(log_level::change, "store_lost",
                         {{"table", watch.table},
                          {"cause", store_result_name(answer.result)}});
        }
        lost = true;
        pause(retry.next());
    }
}

/// Logs that the store has come back older than this VM's copy of a table.
void fleet_agent::log_older_table(const table_watch& watch,
                                  const store_answer& answer)
{
    if (answer.version < watch.rows.version())
    {
        lines_.write(log_level::change, "store_older",
                     {{"table", watch.table},
                      {"era", std::to_string(answer.era)},
                      {"version", std::to_string(answer.version)},
                      {"known", std::to_string(watch.rows.version())},
                      {"rows", std::to_string(answer.rows.size())}});
    }
}

/// Makes a watch read at once, because a peer has seen newer rows.
void fleet_agent::request_refresh(table_watch& watch)
{
    if (!watch.refresh_requested)
    {
        watch.refresh_requested = true;
        watch.store.client.cancel();
    }
}

void fleet_agent::apply_config_rows(const std::vector<store_row>& rows)
{
    for (const auto& row : rows)
    {
        if (row.key == platform::config_key && !row.removed)
        {
            adopt_config(row.value);
        }
    }
}

void fleet_agent::adopt_config(const std::string& text)
{
    std::string reason;
    std::shared_ptr<const session_settings> settings =
        platform::decode_config(text, reason);
    if (!settings)
    {
        lines_.write(log_level::change, "settings_unreadable",
                     {{"cause", reason}});
        return;
    }
    if (settings->version <= config_version_)
    {
        return;
    }
    config_version_ = settings->version;
    config_text_ = text;
    proxy_.use_settings(now_(), std::move(settings));
}

/// Fetches newer settings from a peer, for a VM that can't read the store.
void fleet_agent::fetch_config(const std::string& address, std::uint16_t port)
{
    if (fetching_config_)
    {
        return;
    }
    fetching_config_ = true;
    run_fiber(
        [this, address, port]
        {
            http_client_stream stream(context_);
            bool sent = false;
            std::optional<http_answer> answer;
            if (stream.connect(address, port, fetch_timeout))
            {
                answer = stream.exchange({"GET", "/settings", "", "", true, {}},
                                         fetch_timeout, sent);
            }
            if (answer && !answer->body.empty())
            {
                adopt_config(answer->body);
            }
            fetching_config_ = false;
        });
}

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

/// Applies the server changes in a view, and reads what this VM's watches
/// should have delivered by now.
void fleet_agent::refresh_outdated_tables(const proto::FleetView& view)
{
    const auto now = now_();
    apply_server_changes(view);
    servers_outdated_.update(now, view.servers_version() >
                                      server_watch_.rows.newest_seen_version());
    if (servers_outdated_.has_lasted(now, watch_grace_time))
    {
        request_refresh(server_watch_);
    }
    config_outdated_.update(now, view.settings_version() > config_version_);
    if (config_outdated_.has_lasted(now, watch_grace_time))
    {
        request_refresh(config_watch_);
    }
    if (config_outdated_.has_lasted(now, refresh_grace_time))
    {
        fetch_config(coordinator_endpoint_.address().to_string(),
                     coordinator_endpoint_.port());
    }
}

} // namespace tanagerhoist

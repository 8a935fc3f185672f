#include "fleet_agent.hpp"

#include "platform/operator_config.hpp"
#include "tanagerhoist/adapter/http_stream.hpp"
#include "tanagerhoist/fleet/fleet_schedule.hpp"
#include "tanagerhoist/fleet/settings_sources.hpp"
#include "tanagerhoist/fleet/table_read.hpp"
#include "tanagerhoist/session/primary_lease.hpp"

#include <utility>

// Following the tables of the settings and of the servers.
namespace tanagerhoist
{
namespace
{

// Longest wait of a watch call; other VMs receive changes from the coordinator.
constexpr milliseconds member_watch_wait{15000};

/// Pause after a change, so that changes close together are read in one call.
constexpr milliseconds batch_interval{200};

/// Interval at which a VM that receives changes from the coordinator checks
/// whether it still does.
constexpr milliseconds contact_check_interval{300};

constexpr milliseconds fetch_timeout{2000};

/// Longest pause within fetched settings, which share the links with others.
constexpr milliseconds fetch_pause{1000};

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
    const bool told = watch.updated_by_coordinator ||
                      (&watch == &config_watch_ && follows_coordinator_);
    return told && !watch.refresh_requested && !is_coordinator() &&
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
            watch.answered = now_();
            log_older_table(watch, answer);
            const auto before = watch.rows.version();
            const bool restored =
                before != 0 && era_of(answer.version) > era_of(before);
            watch.handle(watch.rows.apply(answer, !known), {!known, restored});
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
    auto report = platform::read_config(text);
    if (!report.settings)
    {
        lines_.write(log_level::change, "settings_unreadable",
                     {{"cause", to_text(report.errors.front())}});
        return;
    }
    if (report.settings->version <= config_version_)
    {
        return;
    }
    for (const auto& entry : report.unusable)
    {
        lines_.write(log_level::change, "settings_entry_unusable",
                     {{"cause", to_text(entry)}});
    }
    std::shared_ptr<const session_settings> settings =
        std::move(report.settings);
    config_version_ = settings->version;
    config_text_ = text;
    proxy_.use_settings(now_(), std::move(settings));
    if (proxy_.members() < large_fleet)
    {
        return;
    }
    if (is_coordinator())
    {
        send_views(); // tells the others where to fetch them
    }
    else
    {
        report_soon(); // so that others can fetch them here
    }
}

/// Tells a VM of a large fleet whether it needs a watch of the operator's table
/// of its own, and where to fetch settings that it lacks.
void fleet_agent::add_settings_source(const std::string& vm,
                                      proto::FleetView& view)
{
    if (members_.rows.size() < large_fleet)
    {
        return;
    }
    if (is_watch_working(now_(), config_watch_.answered))
    {
        view.set_settings_table(config_watch_.rows.version());
    }
    if (coordinator_.settings_version(vm) >= config_version_)
    {
        return;
    }
    std::map<std::string, settings_holder> vms;
    for (const auto& [name, member] : members_.rows)
    {
        vms[name] = {member.row.data_centre(),
                     coordinator_.settings_version(name),
                     coordinator_.is_reporting(now_(), name),
                     settings_fetches(member.row.cpu_percent())};
    }
    const auto source =
        choose_settings_source(vms, vm, settings_.vm().name(), config_version_);
    const auto peer = peers_.find(source);
    if (source == settings_.vm().name())
    {
        view.set_settings_address(self_row().address());
        view.set_settings_port(self_row().peer_port());
    }
    else if (peer != peers_.end())
    {
        view.set_settings_address(peer->second.address().to_string());
        view.set_settings_port(peer->second.port());
    }
}

/// Follows the coordinator's news of the settings, in place of a watch.
void fleet_agent::use_settings_source(const proto::FleetView& view)
{
    follows_coordinator_ = view.settings_table() != 0;
    if (view.settings_version() > config_version_)
    {
        if (!view.settings_address().empty())
        {
            fetch_config(view.settings_address(),
                         static_cast<std::uint16_t>(view.settings_port()));
        }
    }
    else if (view.settings_version() == config_version_)
    {
        // Nothing has changed up to that version of the table.
        config_watch_.rows.apply_changes(0, view.settings_table(), {});
    }
}

/// Fetches newer settings from a peer.
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
                answer = stream.download({"GET", "/settings", "", "", true, {}},
                                         fetch_timeout, fetch_pause, sent);
            }
            const auto before = config_version_;
            if (answer && !answer->body.empty())
            {
                adopt_config(answer->body);
            }
            lines_.write(
                log_level::change, "settings_fetched",
                {{"from", address},
                 {"bytes", std::to_string(answer ? answer->body.size() : 0)},
                 {"new", config_version_ > before ? "yes" : "no"}});
            fetching_config_ = false;
        });
}

/// Applies the server changes in a view, and reads what this VM's watches
/// should have delivered by now.
void fleet_agent::refresh_outdated_tables(const proto::FleetView& view)
{
    const auto now = now_();
    apply_server_changes(view);
    use_settings_source(view);
    servers_outdated_.update(now, view.servers_version() >
                                      server_watch_.rows.newest_seen_version());
    if (servers_outdated_.has_lasted(now, watch_grace_time))
    {
        request_refresh(server_watch_);
    }
    config_outdated_.update(now, view.settings_version() > config_version_);
    const auto grace = settings_grace(follows_coordinator_);
    if (config_outdated_.has_lasted(now, grace.store))
    {
        request_refresh(config_watch_);
    }
    if (config_outdated_.has_lasted(now, grace.coordinator))
    {
        fetch_config(coordinator_endpoint_.address().to_string(),
                     coordinator_endpoint_.port());
    }
}

} // namespace tanagerhoist

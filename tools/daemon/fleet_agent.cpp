#include "fleet_agent.hpp"

#include "platform/failover_call.hpp"
#include "platform/operator_config.hpp"
#include "tanagerhoist/adapter/fiber_await.hpp"
#include "tanagerhoist/fleet/table_read.hpp"

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <random>
#include <utility>

namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

constexpr const char* fleet_table = "fleet";
constexpr const char* member_table = "members";
constexpr const char* group_prefix = "db.";

// Longest wait of a watch call. It is short for the coordinator, which must
// notice a silent watch soon; other VMs receive changes from the coordinator.
constexpr milliseconds config_wait{2000};
constexpr milliseconds server_wait{3000};
constexpr milliseconds member_watch_wait{15000};

/// Most rows of the server list in one view, so that it fits in a datagram.
constexpr std::size_t max_rows_per_view = 40;

/// Pause after a change, so that changes close together are read in one call.
constexpr milliseconds batch_interval{200};

constexpr milliseconds members_interval{500}; // while waiting for a seal
constexpr milliseconds removal_interval{5000};

/// Time for this VM's own watch to deliver changes that the coordinator has
/// seen, before the watch is refreshed, and then before a peer is asked.
constexpr milliseconds watch_grace_time{600};
constexpr milliseconds refresh_grace_time{1100};

/// Interval of lease renewals without contact to the coordinator. A renewal
/// also detects changed leads.
constexpr milliseconds renewal_without_coordinator{1000};

/// Most rows that one transaction may have conditions on.
constexpr std::size_t transaction_rows = 90;
constexpr milliseconds min_store_retry{100};
constexpr milliseconds max_store_retry{800};
constexpr milliseconds report_interval{400};
constexpr milliseconds sealed_report_interval{
    80}; // while a seal waits for this VM
constexpr milliseconds min_request_interval{4};
constexpr milliseconds watch_interval{100};
constexpr milliseconds check_interval{300};
constexpr milliseconds smaller_vm_delay{900}; // of all but the largest VM
constexpr milliseconds startup_delay{600};    // lets all VMs register first

/// Time after which an unanswered grant request is repeated.
constexpr milliseconds grant_timeout{60};
constexpr milliseconds control_timeout{350};
constexpr milliseconds fetch_timeout{1000};

/// How long the server list must contradict a lead before the lead is replaced;
/// the list lags behind a promotion.
constexpr milliseconds outdated_lead_timeout{2500};

constexpr std::size_t stack_size = std::size_t{128} * 1024; // bytes

std::string group_of_key(const std::string& key)
{
    return key.substr(std::char_traits<char>::length(group_prefix));
}

/// Converts a CPU share to percent; an absent share means a whole core.
std::uint64_t percent_of(const std::string& share)
{
    constexpr double whole = 100;
    return static_cast<std::uint64_t>(
        share.empty() ? whole : std::strtod(share.c_str(), nullptr) * whole);
}

bool has_prefix(const std::string& key, const char* prefix)
{
    return key.rfind(prefix, 0) == 0;
}

} // namespace

endpoint_setting split_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    endpoint_setting where;
    where.address = text.substr(0, colon);
    std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                    where.port); // can't fail: the settings were checked
    return where;
}

fleet_agent::fleet_agent(asio::io_context& context,
                         const proto::SessionDaemonSettings& settings,
                         std::uint64_t life, limit_tolerance tolerance,
                         proxy& decisions, structured_log& lines, clock now)
    : context_(context),
      settings_(settings),
      life_(life),
      cpu_percent_(percent_of(settings.sessions().cpu_share())),
      proxy_(decisions),
      lines_(lines),
      now_(std::move(now)),
      store_(split_endpoint(settings.sessions().store())),
      promotion_address_(split_endpoint(settings.sessions().duty())),
      socket_(context,
              udp::endpoint(
                  asio::ip::make_address(
                      split_endpoint(settings.sessions().listen()).address),
                  static_cast<std::uint16_t>(settings.sessions().peer_port()))),
      report_timer_(context),
      config_watch_{platform::operator_table, config_wait,
                    [this](const auto& rows) { apply_config_rows(rows); },
                    make_client(), false},
      server_watch_{platform::server_table, server_wait,
                    [this](const auto& rows) { apply_server_rows(rows); },
                    make_client(), true},
      lease_store_(make_client()),
      lead_store_(make_client()),
      member_store_(make_client()),
      lease_(lease_store_, self_row(), now_, lines),
      coordinator_(tolerance, settings.sessions().first_start() == "true")
{
}

platform::store_client fleet_agent::make_client() const
{
    return {context_, store_.address, store_.port, now_};
}

proto::MemberRow fleet_agent::self_row() const
{
    proto::MemberRow row;
    row.set_vm(settings_.vm().name());
    row.set_data_centre(settings_.vm().data_centre());
    row.set_address(split_endpoint(settings_.sessions().listen()).address);
    row.set_peer_port(settings_.sessions().peer_port());
    row.set_life(life_);
    row.set_cpu_percent(cpu_percent_);
    return row;
}

void fleet_agent::run_fiber(std::function<void()> body)
{
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                         boost::fibers::fixedsize_stack(stack_size),
                         std::move(body))
        .detach();
}

void fleet_agent::pause(milliseconds time)
{
    asio::steady_timer timer(context_, time);
    await([&timer](auto handler) { timer.async_wait(std::move(handler)); });
}

void fleet_agent::start()
{
    receive();
    run_fiber([this] { follow_table(config_watch_); });
    run_fiber([this] { follow_table(server_watch_); });
    run_fiber([this] { maintain_primary_lease(); });
    run_fiber([this] { maintain_coordinator_lease(); });
    run_fiber([this] { monitor_groups(); });
    report_regularly();
}

// ---- following the store --------------------------------------------------

store_answer fleet_agent::poll_store(table_watch& watch, bool known,
                                     bool at_once)
{
    if (!known)
    {
        return read_table(watch.client, watch.table);
    }
    const auto wait = is_coordinator() ? watch.holder_wait : member_watch_wait;
    return watch.client.watch(watch.table, watch.rows.version(),
                              at_once ? milliseconds(0) : wait);
}

/// Whether the coordinator currently sends the table's changes to this VM.
bool fleet_agent::is_updated_by_coordinator(const table_watch& watch)
{
    return watch.updated_by_coordinator && !watch.refresh_requested &&
           !is_coordinator() && now_() < last_contact_ + coordinator_timeout;
}

/// Reads a table and follows its changes for as long as the process lives.
void fleet_agent::follow_table(table_watch& watch)
{
    bool known = false;
    bool lost = false;
    bool resumed = false;
    auto retry = min_store_retry;
    while (!leaving_)
    {
        if (known && is_updated_by_coordinator(watch))
        {
            resumed = true;
            pause(check_interval);
            continue;
        }
        // The first call after a failure returns without waiting, to catch up
        // immediately.
        const bool at_once = lost || watch.refresh_requested || resumed;
        resumed = false;
        watch.refresh_requested = false;
        const auto answer = poll_store(watch, known, at_once);
        if (answer.result == store_result::done)
        {
            if (lost)
            {
                lines_.write(log_level::change, "store_regained",
                             {{"table", watch.table}});
            }
            lost = false;
            retry = min_store_retry;
            watch.handle(watch.rows.apply(answer, !known));
            known = true;
            pause(answer.rows.empty() ? milliseconds(0) : batch_interval);
            continue;
        }
        if (watch.refresh_requested)
        {
            continue; // cancelled by request_refresh()
        }
        if (answer.result == store_result::compacted)
        {
            lines_.write(log_level::change, "store_history_gone",
                         {{"table", watch.table}});
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
        pause(retry);
        retry = std::min(retry * 2, max_store_retry);
    }
}

/// Makes a watch read at once, because a peer has seen newer rows.
void fleet_agent::request_refresh(table_watch& watch)
{
    if (!watch.refresh_requested)
    {
        watch.refresh_requested = true;
        watch.client.cancel();
    }
}

/// Upper bound of the store's clock at this moment.
std::uint64_t fleet_agent::store_time() const
{
    return static_cast<std::uint64_t>(store_clock_.count()) +
           to_ms(now_() - store_clock_at_) + 1;
}

/// Reads the leads of all groups.
/// @param store a client that no other fiber is using
bool fleet_agent::read_leads(row_store& store)
{
    const auto leads = read_table(store, fleet_table);
    if (leads.result != store_result::done)
    {
        return false;
    }
    for (const auto& row : leads.rows)
    {
        apply_lead_row(row);
    }
    return true;
}

/// Reads the leads and members, so that this VM can register.
void fleet_agent::register_self()
{
    if (!read_leads(member_store_))
    {
        return; // the caller retries
    }
    const auto members = read_table(member_store_, member_table);
    if (members.result != store_result::done)
    {
        return;
    }
    apply_members(members);
    store_clock_ = members.now;
    store_clock_at_ = members.sent;
    const auto own = members_.rows.find(settings_.vm().name());
    own_version_ = own == members_.rows.end() ? 0 : own->second.version;
    state_known_ = true;
}

/// Registers this VM and renews its primary lease.
void fleet_agent::maintain_primary_lease()
{
    auto retry = min_store_retry;
    while (!leaving_)
    {
        if (!state_known_)
        {
            register_self();
        }
        if (state_known_ && write_member_row())
        {
            retry = min_store_retry;
            const auto renewed = now_();
            const auto interval = proxy_.members() < large_fleet
                                      ? primary_lease_renewal
                                      : large_fleet_lease_renewal;
            while (!leaving_ && now_() < renewed + interval &&
                   (now_() < last_contact_ + coordinator_timeout ||
                    now_() < renewed + renewal_without_coordinator))
            {
                pause(renewal_without_coordinator);
            }
            continue;
        }
        pause(retry);
        retry = std::min(retry * 2, max_store_retry);
    }
}

/// Writes this VM's row on the condition that no lead known here has changed.
bool fleet_agent::write_member_row()
{
    auto row = self_row();
    row.set_store_ms(store_time());
    store_transaction change;
    change.expected.push_back(
        {member_table, row.vm(), "", own_version_, false});
    for (const auto& [group, lead] : lead_rows_)
    {
        if (change.expected.size() < transaction_rows)
        {
            change.expected.push_back(
                {fleet_table, group_prefix + group, "", lead.version, false});
        }
    }
    change.puts.push_back(
        {member_table, row.vm(), row.SerializeAsString(), 0, false});
    const auto answer = member_store_.write(change);
    if (answer.result == store_result::done)
    {
        if (!registered_)
        {
            registered_ = true;
            lines_.write(log_level::change, "registered",
                         {{"life", std::to_string(life_)}});
        }
        own_version_ = answer.version;
        store_clock_ = answer.now;
        store_clock_at_ = answer.sent;
        proxy_.renew_primary_lease(answer.sent);
        return true;
    }
    lines_.write(log_level::change, "right_not_renewed",
                 {{"cause", store_result_name(answer.result)},
                  {"took_ms", std::to_string(to_ms(now_() - answer.sent))}});
    if (answer.result == store_result::conflict)
    {
        for (const auto& current : answer.rows)
        {
            if (current.table == member_table)
            {
                own_version_ = current.version; // an earlier write, or removed
            }
            apply_lead_row(current);
        }
    }
    return false;
}

/// Applies the row of a group's lead; other rows are ignored.
void fleet_agent::apply_lead_row(const store_row& row)
{
    if (!has_prefix(row.key, group_prefix) || row.removed || row.version == 0)
    {
        return;
    }
    group_lead_row lead;
    lead.version = row.version;
    if (!lead.lead.ParseFromString(row.value))
    {
        lines_.write(log_level::change, "row_unreadable",
                     {{"table", fleet_table}, {"key", row.key}});
        return;
    }
    auto& known = lead_rows_[group_of_key(row.key)];
    if (lead.version > known.version)
    {
        known = lead;
        proxy_.use_lead(now_(), lead.lead);
        report_soon();
    }
}

/// Reads the rows of all VMs.
void fleet_agent::read_members()
{
    if (members_read_running_)
    {
        return;
    }
    members_read_running_ = true;
    members_requested_at_ = now_();
    run_fiber(
        [this]
        {
            auto store = make_client();
            const auto answer = read_table(store, member_table);
            if (answer.result == store_result::done)
            {
                apply_members(answer);
            }
            members_read_running_ = false;
        });
}

void fleet_agent::apply_members(const store_answer& answer)
{
    members_.rows.clear();
    members_.store_now = answer.now;
    members_.read_at = answer.sent;
    for (const auto& row : answer.rows)
    {
        fleet_member member;
        member.version = row.version;
        if (!member.row.ParseFromString(row.value))
        {
            lines_.write(log_level::change, "row_unreadable",
                         {{"table", member_table}, {"key", row.key}});
            continue;
        }
        members_.rows[row.key] = member;
        error_code error;
        const auto ip = asio::ip::make_address(member.row.address(), error);
        if (!error)
        {
            peers_[row.key] = {
                ip, static_cast<std::uint16_t>(member.row.peer_port())};
        }
    }
    const std::size_t others =
        members_.rows.size() - members_.rows.count(settings_.vm().name());
    proxy_.use_members(now_(), others + 1);
}

/// Removes the row of a VM whose lease has expired, so that seals no longer
/// wait for it.
void fleet_agent::remove_expired_vms()
{
    for (const auto& vm : coordinator_.expired_vms(now_(), members_))
    {
        store_transaction change;
        change.expected.push_back(
            {member_table, vm, "", members_.rows.at(vm).version, false});
        change.removals.push_back({member_table, vm, "", 0, false});
        const auto answer = lead_store_.write(change);
        const bool done = answer.result == store_result::done;
        lines_.write(log_level::change, "vm_removed",
                     {{"gone", vm}, {"done", done ? "yes" : "no"}});
        members_.rows.erase(vm); // if that failed, the next read restores it
        return;                  // others are removed in later calls
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

void fleet_agent::apply_server_rows(const std::vector<store_row>& rows)
{
    for (const auto& row : rows)
    {
        servers_.erase(row.key);
        if (row.removed)
        {
            continue;
        }
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
        apply_server_rows(changed);
    }
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

// ---- datagrams ------------------------------------------------------------

void fleet_agent::receive()
{
    socket_.async_receive_from(asio::buffer(datagram_), sender_,
                               [this](error_code error, std::size_t size)
                               {
                                   if (error == asio::error::operation_aborted)
                                   {
                                       return;
                                   }
                                   if (!error)
                                   {
                                       handle_datagram(size);
                                   }
                                   receive();
                               });
}

void fleet_agent::handle_datagram(std::size_t size)
{
    proto::FleetDatagram datagram;
    if (!datagram.ParseFromArray(datagram_.data(), static_cast<int>(size)))
    {
        return; // not from a peer
    }
    if (datagram.has_report() && lease_.holds(now_()))
    {
        const auto vm = datagram.report().vm();
        peers_[vm] = sender_;
        coordinator_.apply_report(now_(), datagram.report());
        send_view(vm);
    }
    else if (datagram.has_request() && lease_.holds(now_()))
    {
        handle_grant_request(datagram.request());
    }
    else if (datagram.has_reply())
    {
        handle_grant_reply(datagram.reply());
    }
    else if (datagram.has_view())
    {
        if (datagram.view().token() < coordinator_token_)
        {
            return; // from a previous coordinator that has not noticed its loss
        }
        coordinator_endpoint_ = sender_;
        handle_view(datagram.view());
    }
}

void fleet_agent::handle_grant_request(const proto::GrantRequest& request)
{
    const auto* settings = proxy_.settings();
    proto::FleetDatagram datagram;
    auto& reply = *datagram.mutable_reply();
    if (settings == nullptr || !coordinator_.grant(now_(), *settings, request,
                                                   *reply.mutable_grants()))
    {
        return;
    }
    reply.set_token(lease_.row().token());
    reply.set_sequence(++view_sequence_);
    if (request.vm() == settings_.vm().name())
    {
        handle_grant_reply(reply);
        return;
    }
    const auto bytes = datagram.SerializeAsString();
    error_code ignored; // operations in a lost reply are lost
    socket_.send_to(asio::buffer(bytes), sender_, 0, ignored);
}

void fleet_agent::handle_grant_reply(const proto::GrantReply& reply)
{
    awaiting_grant_ = false;
    const bool outdated = reply.token() != coordinator_token_ ||
                          reply.sequence() <= last_sequence_;
    if (!outdated)
    {
        last_sequence_ = reply.sequence();
        proxy_.use_grants(now_(), reply.grants());
    }
}

/// Requests the operations that queued statements need.
void fleet_agent::request_grants()
{
    last_report_at_ = now_();
    proto::FleetDatagram datagram;
    auto& request = *datagram.mutable_request();
    for (auto& demand : proxy_.limits().missing(now_()))
    {
        *request.add_demand() = std::move(demand);
    }
    if (request.demand_size() == 0)
    {
        return;
    }
    awaiting_grant_ = true;
    request.set_vm(settings_.vm().name());
    request.set_life(life_);
    request.set_sequence(++report_sequence_);
    if (lease_.holds(now_()))
    {
        handle_grant_request(request);
    }
    else if (coordinator_endpoint_.port() != 0)
    {
        const auto bytes = datagram.SerializeAsString();
        error_code ignored; // repeated after grant_timeout
        socket_.send_to(asio::buffer(bytes), coordinator_endpoint_, 0, ignored);
    }
}

void fleet_agent::handle_view(const proto::FleetView& view)
{
    if (view.token() == coordinator_token_ && view.sequence() <= last_sequence_)
    {
        return; // duplicate or out of date
    }
    const auto now = now_();
    last_contact_ = now;
    newest_view_ = view.sequence();
    coordinator_token_ = view.token();
    last_sequence_ = view.sequence();
    bool changed = false;
    for (int i = 0; i < view.leads_size(); ++i)
    {
        const auto& lead = view.leads(i);
        auto& row = lead_rows_[lead.group()];
        if (i < view.lead_versions_size() &&
            view.lead_versions(i) > row.version)
        {
            row = {lead, view.lead_versions(i)};
        }
        const auto& known = proxy_.leads();
        const auto it = known.find(lead.group());
        changed =
            changed || it == known.end() || it->second.epoch() < lead.epoch();
        proxy_.use_lead(now, lead);
    }
    if (view.members() != 0)
    {
        proxy_.use_members(now, view.members());
    }
    proxy_.use_coordinator_contact(now);
    for (const auto& wait : view.seal_waits())
    {
        proxy_.use_seal_wait(now, wait);
    }
    proxy_.use_grants(now, view.grants());
    // The view was created after the report that it answers was sent, so its
    // positions are at least as recent as that report.
    const auto answered = reports_.find(view.report());
    for (const auto& sample : view.positions())
    {
        if (answered != reports_.end())
        {
            proxy_.use_position(answered->second, sample);
        }
    }
    if (changed)
    {
        report_soon();
    }
    if (view.holder() == settings_.vm().name())
    {
        return;
    }
    apply_server_changes(view);
    if (has_lasted(view.servers_version() >
                       server_watch_.rows.newest_seen_version(),
                   servers_outdated_since_, watch_grace_time))
    {
        request_refresh(server_watch_);
    }
    const bool outdated = view.settings_version() > config_version_;
    if (has_lasted(outdated, config_outdated_since_, watch_grace_time))
    {
        request_refresh(config_watch_);
        if (has_lasted(outdated, config_outdated_since_, refresh_grace_time))
        {
            fetch_config(coordinator_endpoint_.address().to_string(),
                         coordinator_endpoint_.port());
        }
    }
}

/// Whether `missing` has been true for at least `time`.
bool fleet_agent::has_lasted(bool missing, std::optional<moment>& since,
                             milliseconds time)
{
    if (!missing)
    {
        since.reset();
        return false;
    }
    since = since.value_or(now_());
    return now_() >= *since + time;
}

proto::FleetView fleet_agent::view_for(const std::string& vm)
{
    proto::FleetView view;
    view.set_holder(settings_.vm().name());
    view.set_token(lease_.row().token());
    view.set_sequence(++view_sequence_);
    view.set_settings_version(config_version_);
    view.set_servers_version(server_watch_.rows.newest_seen_version());
    add_server_changes(vm, view);
    view.set_members(members_.rows.size());
    for (const auto& [group, row] : lead_rows_)
    {
        *view.add_leads() = row.lead;
        view.add_lead_versions(row.version);
    }
    if (const auto* settings = proxy_.settings())
    {
        coordinator_.grant(now_(), *settings, vm, *view.mutable_grants());
    }
    coordinator_.add_positions(now_(), view);
    coordinator_.add_seal_waits(now_(), view);
    view.set_report(coordinator_.record_view(now_(), vm, view.sequence()));
    return view;
}

void fleet_agent::send_view(const std::string& vm)
{
    if (vm == settings_.vm().name())
    {
        handle_view(view_for(vm));
        return;
    }
    const auto it = peers_.find(vm);
    if (it == peers_.end())
    {
        return;
    }
    proto::FleetDatagram datagram;
    *datagram.mutable_view() = view_for(vm);
    const auto bytes = datagram.SerializeAsString();
    error_code ignored; // the next view replaces a lost one
    socket_.send_to(asio::buffer(bytes), it->second, 0, ignored);
}

void fleet_agent::send_views()
{
    for (const auto& [vm, member] : members_.rows)
    {
        send_view(vm);
    }
}

void fleet_agent::send_report()
{
    last_report_at_ = now_();
    proto::FleetDatagram datagram;
    auto& report = *datagram.mutable_report();
    report.set_vm(settings_.vm().name());
    report.set_life(life_);
    report.set_sequence(++report_sequence_);
    report.set_view(newest_view_);
    reports_[report_sequence_] = now_();
    constexpr std::size_t kept_reports = 16;
    if (reports_.size() > kept_reports)
    {
        reports_.erase(reports_.begin());
    }
    report.set_settings_version(config_version_);
    report.set_servers_version(server_watch_.rows.version());
    proxy_.describe(now_(), report);
    if (lease_.holds(now_()))
    {
        coordinator_.apply_report(now_(), report);
        send_view(settings_.vm().name());
        return;
    }
    const auto& row = lease_.row();
    auto where = coordinator_endpoint_;
    if (!row.holder().empty() && row.token() > coordinator_token_)
    {
        error_code error;
        const auto ip = asio::ip::make_address(row.address(), error);
        if (!error)
        {
            where = {ip, static_cast<std::uint16_t>(row.peer_port())};
        }
    }
    if (where.port() != 0)
    {
        const auto bytes = datagram.SerializeAsString();
        error_code ignored; // the next report replaces a lost one
        socket_.send_to(asio::buffer(bytes), where, 0, ignored);
    }
}

void fleet_agent::request_grants_if_needed()
{
    const bool recent = now_() < last_report_at_ + min_request_interval;
    const bool awaited =
        awaiting_grant_ && now_() < last_report_at_ + grant_timeout;
    if (proxy_.limits().needs_grant(now_()) && !recent && !awaited &&
        !request_scheduled_)
    {
        request_scheduled_ = true;
        // Posted, since the caller may be in the middle of a statement.
        asio::post(context_,
                   [this]
                   {
                       request_scheduled_ = false;
                       request_grants();
                   });
    }
}

void fleet_agent::report_soon()
{
    report_timer_.expires_after(milliseconds(0));
    report_timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                report_regularly();
            }
        });
}

void fleet_agent::report_regularly()
{
    send_report();
    report_timer_.expires_after(proxy_.is_sealed_primary_in_use()
                                    ? sealed_report_interval
                                    : report_interval);
    report_timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                report_regularly();
            }
        });
}

// ---- coordinator ----------------------------------------------------------

/// How long this VM leaves an expired coordinator lease to larger VMs.
milliseconds fleet_agent::takeover_delay() const
{
    const bool largest =
        std::all_of(members_.rows.begin(), members_.rows.end(),
                    [this](const auto& entry)
                    { return entry.second.row.cpu_percent() <= cpu_percent_; });
    return (largest ? milliseconds(0) : smaller_vm_delay) +
           (lease_.is_holder_known() ? milliseconds(0) : startup_delay);
}

void fleet_agent::maintain_coordinator_lease()
{
    std::minstd_rand random(static_cast<unsigned>(life_));
    while (!leaving_)
    {
        bool done = true;
        if (registered_)
        {
            done = lease_.update(last_contact_, takeover_delay());
        }
        if (!lease_.is_holder_known() &&
            now_() >= last_contact_ + coordinator_timeout)
        {
            read_members(); // to know which VM is the largest
        }
        const bool holds = lease_.holds(now_());
        if (holds && !was_coordinator_)
        {
            coordinator_.reset(lease_.former());
            read_leads(lease_store_);
            read_members();
            request_refresh(config_watch_);
            request_refresh(server_watch_);
            send_views();
        }
        was_coordinator_ = holds;
        const milliseconds spread(random() % check_interval.count());
        pause(!done   ? min_store_retry
              : holds ? coordinator_lease_renewal
                      : check_interval + spread);
    }
}

bool fleet_agent::is_coordinator()
{
    return lease_.holds(now_()) && !leaving_;
}

void fleet_agent::monitor_groups()
{
    while (!leaving_)
    {
        pause(is_coordinator() ? watch_interval : check_interval);
        const auto* settings = proxy_.settings();
        if (!is_coordinator() || settings == nullptr)
        {
            continue;
        }
        remove_expired_vms();
        if (now_() >= members_requested_at_ + removal_interval)
        {
            read_members();
        }
        for (const auto& [group, ignored] : settings->groups)
        {
            bool planned = false;
            if (failovers_running_.count(group) != 0)
            {
                continue;
            }
            if (lead_rows_.count(group) == 0)
            {
                create_group_lead(group);
            }
            else if (needs_failover(group, planned))
            {
                start_failover(group, planned);
            }
        }
    }
}

bool fleet_agent::needs_failover(const std::string& group, bool& planned)
{
    const auto& lead = lead_rows_.at(group).lead;
    const auto it = servers_.find(lead.primary());
    planned = it != servers_.end() && it->second.draining;
    return lead.sealed() || planned ||
           coordinator_.is_primary_unreachable(now_(), lead.primary()) ||
           is_lead_outdated(lead);
}

/// Whether the server list has named another server as primary for at least
/// `outdated_lead_timeout`.
bool fleet_agent::is_lead_outdated(const proto::GroupLead& lead)
{
    const auto it = servers_.find(lead.primary());
    bool another = false;
    for (const auto& [id, server] : servers_)
    {
        another = another || (server.group == lead.group() &&
                              server.claims_primary && id != lead.primary());
    }
    const bool claims = it != servers_.end() && it->second.claims_primary;
    if (claims || !another)
    {
        lead_outdated_since_.erase(lead.group());
        return false;
    }
    const auto since =
        lead_outdated_since_.try_emplace(lead.group(), now_()).first->second;
    return now_() >= since + outdated_lead_timeout;
}

void fleet_agent::start_failover(const std::string& group, bool planned)
{
    failovers_running_.insert(group);
    run_fiber(
        [this, group, planned]
        {
            failover_executor executor(*this, lines_);
            const auto begun = now_();
            const auto done =
                executor.change_primary(lead_rows_.at(group), planned);
            lines_.write(log_level::change, "lead_change_ended",
                         {{"group", group},
                          {"ms", std::to_string(to_ms(now_() - begun))},
                          {"primary", done ? done->lead.primary() : "-"}});
            lead_outdated_since_.erase(group);
            for (const auto& server : servers(group))
            {
                controls_.erase(server.id);
            }
            failovers_running_.erase(group);
        });
}

void fleet_agent::create_group_lead(const std::string& group)
{
    if (servers(group).empty())
    {
        return;
    }
    failovers_running_.insert(group);
    run_fiber(
        [this, group]
        {
            failover_executor executor(*this, lines_);
            const auto created = executor.create_lead(group);
            for (const auto& server : servers(group))
            {
                controls_.erase(server.id);
            }
            if (!created)
            {
                pause(watch_interval);
            }
            failovers_running_.erase(group);
        });
}

store_answer fleet_agent::write_lead(const proto::GroupLead& lead,
                                     std::uint64_t version)
{
    const auto key = group_prefix + lead.group();
    store_transaction change;
    change.expected.push_back({fleet_table, key, "", version, false});
    change.puts.push_back(
        {fleet_table, key, lead.SerializeAsString(), 0, false});
    auto store = make_client();
    auto answer = store.write(change);
    if (answer.result == store_result::unanswered)
    {
        // Reading the row shows whether the write succeeded.
        const auto read = store.read(fleet_table, key);
        for (const auto& row : read.rows)
        {
            if (row.key == key && row.value == lead.SerializeAsString())
            {
                answer.result = store_result::done;
                answer.version = row.version;
            }
        }
    }
    if (answer.result == store_result::done)
    {
        auto& known = lead_rows_[lead.group()];
        if (answer.version > known.version)
        {
            known = {lead, answer.version};
        }
        proxy_.use_lead(now_(), lead);
        send_views();
    }
    return answer;
}

bool fleet_agent::is_primary_unused(const proto::GroupLead& lead,
                                    std::uint64_t seal_version, moment sealed)
{
    if (coordinator_.is_primary_unused(now_(), lead, seal_version, sealed,
                                       members_))
    {
        return true;
    }
    const auto interval =
        members_.read_at < sealed ? members_interval / 4 : members_interval;
    if (members_requested_at_ < sealed ||
        now_() >= members_requested_at_ + interval)
    {
        read_members();
    }
    return false;
}

std::vector<backend_server> fleet_agent::servers(const std::string& group)
{
    std::vector<backend_server> found;
    for (const auto& [id, server] : servers_)
    {
        if (server.group == group)
        {
            found.push_back(server);
        }
    }
    return found;
}

unsigned fleet_agent::synchronous_replicas(const std::string& group)
{
    const auto* settings = proxy_.settings();
    const auto it = settings->groups.find(group);
    return it == settings->groups.end() ? 0 : it->second.synchronous_replicas;
}

std::optional<server_role>
fleet_agent::query_server(const backend_server& server, const std::string& line)
{
    auto& control = controls_[server.id];
    if (!control)
    {
        const auto* settings = proxy_.settings();
        const auto workspace = settings->workspaces.empty()
                                   ? std::string()
                                   : settings->workspaces.begin()->first;
        control = std::make_unique<platform::server_control>(context_, server,
                                                             workspace);
    }
    const auto status = control->exchange(line, control_timeout);
    if (!status)
    {
        return std::nullopt;
    }
    return server_role{status->primary, status->term, status->received};
}

std::optional<server_role> fleet_agent::role(const backend_server& server)
{
    return query_server(server, platform::status_line());
}

std::optional<server_role> fleet_agent::demote(const backend_server& server,
                                               std::uint64_t term)
{
    return query_server(server, platform::demote_line(term));
}

void fleet_agent::confirm_log_end(const proto::GroupLead& lead,
                                  const log_position& end, moment confirmed)
{
    coordinator_.confirm_log_end(lead, end, confirmed);
}

promotion_result fleet_agent::request_promotion(const std::string& group,
                                                const std::string& server)
{
    http_client_stream stream(context_);
    return platform::request_promotion(
        stream, promotion_address_.address, promotion_address_.port,
        {group, server, settings_.vm().name(), lease_.row().token()});
}

void fleet_agent::leave()
{
    leaving_ = true;
    lease_.release(coordinator_.balances(now_()));
    store_transaction change;
    change.removals.push_back(
        {member_table, settings_.vm().name(), "", 0, false});
    const auto answer = lead_store_.write(change);
    lines_.write(
        log_level::change, "left",
        {{"row_removed", answer.result == store_result::done ? "yes" : "no"}});
}

} // namespace tanagerhoist

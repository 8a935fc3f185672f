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

// The duty's holder notices soon that a watch has gone silent; the others learn
// of news from it.
constexpr milliseconds config_wait{2000};
constexpr milliseconds server_wait{3000};
constexpr milliseconds others_wait{15000};

/// Rows of the list of servers that a view carries at most; a datagram must
/// hold them.
constexpr std::size_t most_passed_rows = 40;

/// Changes that come close together are read at once.
constexpr milliseconds batching{200};

constexpr milliseconds members_interval{500}; // while a seal is waited for
constexpr milliseconds removal_interval{5000};

/// How long this VM's own watch, and then a nudged one, has to bring what the
/// holder has seen.
constexpr milliseconds own_watch_time{600};
constexpr milliseconds own_nudge_time{1100};

/// Without news from the holder, this VM asks the store itself about leads.
constexpr milliseconds lonely_renewal{1000};

/// Rows that one transaction may have conditions on.
constexpr std::size_t transaction_rows = 90;
constexpr milliseconds first_store_retry{100};
constexpr milliseconds longest_store_retry{800};
constexpr milliseconds report_interval{400};
constexpr milliseconds hurried_interval{80}; // while a seal waits for this VM
constexpr milliseconds shortest_interval{4};
constexpr milliseconds watch_interval{100};
constexpr milliseconds look_interval{300};
constexpr milliseconds smaller_wait{900};  // of VMs that are not the largest
constexpr milliseconds newcomer_wait{600}; // for all VMs to register

/// How long a grant is waited for before it is asked for again.
constexpr milliseconds grant_timeout{60};
constexpr milliseconds control_timeout{350};
constexpr milliseconds fetch_timeout{1000};

/// How long a lead is taken to be wrong before it is looked into; the list of
/// servers lags behind a promotion.
constexpr milliseconds misled_for{2500};

constexpr std::size_t stack_size = std::size_t{128} * 1024; // bytes

std::string group_of_key(const std::string& key)
{
    return key.substr(std::char_traits<char>::length(group_prefix));
}

/// An absent share is a whole core.
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
                    where.port); // the settings were checked
    return where;
}

fleet_agent::fleet_agent(asio::io_context& context,
                         const proto::SessionDaemonSettings& settings,
                         std::uint64_t life, limit_tolerance tolerance,
                         proxy& decisions, journal& lines, clock now)
    : context_(context),
      settings_(settings),
      life_(life),
      cpu_percent_(percent_of(settings.sessions().cpu_share())),
      proxy_(decisions),
      lines_(lines),
      now_(std::move(now)),
      store_(split_endpoint(settings.sessions().store())),
      duty_address_(split_endpoint(settings.sessions().duty())),
      socket_(context,
              udp::endpoint(
                  asio::ip::make_address(
                      split_endpoint(settings.sessions().listen()).address),
                  static_cast<std::uint16_t>(settings.sessions().peer_port()))),
      report_timer_(context),
      config_watch_{platform::operator_table, config_wait,
                    [this](const auto& rows) { take_config(rows); },
                    make_client(), false},
      server_watch_{platform::server_table, server_wait,
                    [this](const auto& rows) { take_servers(rows); },
                    make_client(), true},
      duty_store_(make_client()),
      lead_store_(make_client()),
      right_store_(make_client()),
      duty_(duty_store_, self_row(), now_, lines),
      hub_(tolerance, settings.sessions().first_start() == "true")
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
    run_fiber([this] { follow(config_watch_); });
    run_fiber([this] { follow(server_watch_); });
    run_fiber([this] { keep_right(); });
    run_fiber([this] { keep_duty(); });
    run_fiber([this] { watch_groups(); });
    report_regularly();
}

// ---- following the store --------------------------------------------------

store_answer fleet_agent::next_answer(table_watch& watch, bool known,
                                      bool at_once)
{
    if (!known)
    {
        return read_table(watch.client, watch.table);
    }
    const auto wait = holds_duty() ? watch.holder_wait : others_wait;
    return watch.client.watch(watch.table, watch.rows.version(),
                              at_once ? milliseconds(0) : wait);
}

/// Whether the duty's holder passes the table's changes on to this VM.
bool fleet_agent::is_told(const table_watch& watch)
{
    return watch.told_by_holder && !watch.nudged && !holds_duty() &&
           now_() < heard_ + duty_silence;
}

/// Reads a table and follows its changes for as long as the process lives.
void fleet_agent::follow(table_watch& watch)
{
    bool known = false;
    bool lost = false;
    bool told = false;
    auto retry = first_store_retry;
    while (!leaving_)
    {
        if (known && is_told(watch))
        {
            told = true;
            pause(look_interval);
            continue;
        }
        // The first call after a failure does not wait, to catch up at once.
        const bool at_once = lost || watch.nudged || told;
        told = false;
        watch.nudged = false;
        const auto answer = next_answer(watch, known, at_once);
        if (answer.result == store_result::done)
        {
            if (lost)
            {
                lines_.write(journal_level::change, "store_regained",
                             {{"table", watch.table}});
            }
            lost = false;
            retry = first_store_retry;
            watch.handle(watch.rows.take(answer, !known));
            known = true;
            pause(answer.rows.empty() ? milliseconds(0) : batching);
            continue;
        }
        if (watch.nudged)
        {
            continue; // ended on purpose
        }
        if (answer.result == store_result::compacted)
        {
            lines_.write(journal_level::change, "store_history_gone",
                         {{"table", watch.table}});
            known = false;
            continue;
        }
        if (!lost)
        {
            lines_.write(journal_level::change, "store_lost",
                         {{"table", watch.table},
                          {"cause", store_result_name(answer.result)}});
        }
        lost = true;
        pause(retry);
        retry = std::min(retry * 2, longest_store_retry);
    }
}

/// Makes a watch look at once, since a peer has seen more.
void fleet_agent::nudge(table_watch& watch)
{
    if (!watch.nudged)
    {
        watch.nudged = true;
        watch.client.cancel();
    }
}

/// The store's clock now, at the latest that it can be.
std::uint64_t fleet_agent::store_time() const
{
    return static_cast<std::uint64_t>(store_clock_.count()) +
           to_ms(now_() - store_clock_at_) + 1;
}

/// @param store not in use by another fiber
bool fleet_agent::read_leads(row_store& store)
{
    const auto leads = read_table(store, fleet_table);
    if (leads.result != store_result::done)
    {
        return false;
    }
    for (const auto& row : leads.rows)
    {
        take_lead_row(row);
    }
    return true;
}

/// Learns who leads and who is there, so that this VM can register.
void fleet_agent::register_self()
{
    if (!read_leads(right_store_))
    {
        return; // tried again soon
    }
    const auto members = read_table(right_store_, member_table);
    if (members.result != store_result::done)
    {
        return;
    }
    take_members(members);
    store_clock_ = members.now;
    store_clock_at_ = members.sent;
    const auto own = members_.rows.find(settings_.vm().name());
    own_version_ = own == members_.rows.end() ? 0 : own->second.version;
    known_ = true;
}

/// Registers this VM and renews its right to use primaries.
void fleet_agent::keep_right()
{
    auto retry = first_store_retry;
    while (!leaving_)
    {
        if (!known_)
        {
            register_self();
        }
        if (known_ && renew_right())
        {
            retry = first_store_retry;
            const auto renewed = now_();
            const auto interval = proxy_.members() < large_fleet
                                      ? primary_lease_renewal
                                      : large_fleet_lease_renewal;
            while (!leaving_ && now_() < renewed + interval &&
                   (now_() < heard_ + duty_silence ||
                    now_() < renewed + lonely_renewal))
            {
                pause(lonely_renewal);
            }
            continue;
        }
        pause(retry);
        retry = std::min(retry * 2, longest_store_retry);
    }
}

/// Writes this VM's row if no lead that it knows has changed.
bool fleet_agent::renew_right()
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
    const auto answer = right_store_.write(change);
    if (answer.result == store_result::done)
    {
        if (!registered_)
        {
            registered_ = true;
            lines_.write(journal_level::change, "registered",
                         {{"life", std::to_string(life_)}});
        }
        own_version_ = answer.version;
        store_clock_ = answer.now;
        store_clock_at_ = answer.sent;
        proxy_.renew_primary_lease(answer.sent);
        return true;
    }
    lines_.write(journal_level::change, "right_not_renewed",
                 {{"cause", store_result_name(answer.result)},
                  {"took_ms", std::to_string(to_ms(now_() - answer.sent))}});
    if (answer.result == store_result::conflict)
    {
        for (const auto& current : answer.rows)
        {
            if (current.table == member_table)
            {
                own_version_ = current.version; // a late write, or removed
            }
            take_lead_row(current);
        }
    }
    return false;
}

/// Takes in a row that says who leads a group; other rows are passed over.
void fleet_agent::take_lead_row(const store_row& row)
{
    if (!has_prefix(row.key, group_prefix) || row.removed || row.version == 0)
    {
        return;
    }
    lead_row lead;
    lead.version = row.version;
    if (!lead.lead.ParseFromString(row.value))
    {
        lines_.write(journal_level::change, "row_unreadable",
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
    if (reading_members_)
    {
        return;
    }
    reading_members_ = true;
    members_asked_ = now_();
    run_fiber(
        [this]
        {
            auto store = make_client();
            const auto answer = read_table(store, member_table);
            if (answer.result == store_result::done)
            {
                take_members(answer);
            }
            reading_members_ = false;
        });
}

void fleet_agent::take_members(const store_answer& answer)
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
            lines_.write(journal_level::change, "row_unreadable",
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

/// Takes out the rows of VMs that are gone, so that nobody waits for them.
void fleet_agent::remove_lapsed()
{
    for (const auto& vm : hub_.lapsed(now_(), members_))
    {
        store_transaction change;
        change.expected.push_back(
            {member_table, vm, "", members_.rows.at(vm).version, false});
        change.removals.push_back({member_table, vm, "", 0, false});
        const auto answer = lead_store_.write(change);
        const bool done = answer.result == store_result::done;
        lines_.write(journal_level::change, "vm_removed",
                     {{"gone", vm}, {"done", done ? "yes" : "no"}});
        members_.rows.erase(vm); // if not done, the next read brings it back
        return;                  // the rest in the next round
    }
}

void fleet_agent::take_config(const std::vector<store_row>& rows)
{
    for (const auto& row : rows)
    {
        if (row.key == platform::config_key && !row.removed)
        {
            use_config(row.value);
        }
    }
}

void fleet_agent::use_config(const std::string& text)
{
    std::string fault;
    std::shared_ptr<const session_settings> settings =
        platform::decode_config(text, fault);
    if (!settings)
    {
        lines_.write(journal_level::change, "settings_unreadable",
                     {{"cause", fault}});
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

void fleet_agent::take_servers(const std::vector<store_row>& rows)
{
    for (const auto& row : rows)
    {
        servers_.erase(row.key);
        if (row.removed)
        {
            continue;
        }
        std::string fault;
        auto server = platform::decode_server(row.key, row.value, fault);
        if (server)
        {
            servers_[row.key] = std::move(*server);
        }
        else
        {
            lines_.write(journal_level::change, "server_entry_unreadable",
                         {{"server", row.key}, {"cause", fault}});
        }
    }
    proxy_.use_servers(now_(), servers_);
}

/// Adds what a VM's list of servers lacks, if that is known and not much.
void fleet_agent::add_server_changes(const std::string& vm,
                                     proto::FleetView& view)
{
    const auto from = hub_.servers_version(vm);
    const auto& rows = server_watch_.rows;
    const auto changes = rows.since(from);
    if (!changes || changes->size() > most_passed_rows ||
        from >= rows.version())
    {
        return; // it reads them itself if it is behind for long
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

void fleet_agent::take_server_changes(const proto::FleetView& view)
{
    std::vector<store_row> rows;
    for (const auto& passed : view.server_rows())
    {
        rows.push_back({platform::server_table, passed.key(), passed.value(),
                        passed.version(), passed.removed()});
    }
    const auto changed = server_watch_.rows.take_changes(
        view.servers_from(), view.servers_to(), rows);
    if (!changed.empty())
    {
        take_servers(changed);
    }
}

/// Fetches newer settings from a peer, for a VM that the store turns away.
void fleet_agent::fetch_config(const std::string& address, std::uint16_t port)
{
    if (fetching_)
    {
        return;
    }
    fetching_ = true;
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
                use_config(answer->body);
            }
            fetching_ = false;
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
                                       take_datagram(size);
                                   }
                                   receive();
                               });
}

void fleet_agent::take_datagram(std::size_t size)
{
    proto::FleetDatagram datagram;
    if (!datagram.ParseFromArray(datagram_.data(), static_cast<int>(size)))
    {
        return; // not from a peer
    }
    if (datagram.has_report() && duty_.holds(now_()))
    {
        const auto vm = datagram.report().vm();
        peers_[vm] = sender_;
        hub_.take_report(now_(), datagram.report());
        send_view(vm);
    }
    else if (datagram.has_request() && duty_.holds(now_()))
    {
        reply_to(datagram.request());
    }
    else if (datagram.has_reply())
    {
        take_reply(datagram.reply());
    }
    else if (datagram.has_view())
    {
        if (datagram.view().token() < holder_token_)
        {
            return; // from a holder that does not know its end yet
        }
        holder_at_ = sender_;
        take_view(datagram.view());
    }
}

void fleet_agent::reply_to(const proto::GrantRequest& request)
{
    const auto* settings = proxy_.settings();
    proto::FleetDatagram datagram;
    auto& reply = *datagram.mutable_reply();
    if (settings == nullptr ||
        !hub_.grant(now_(), *settings, request, *reply.mutable_grants()))
    {
        return;
    }
    reply.set_token(duty_.row().token());
    reply.set_sequence(++view_sequence_);
    if (request.vm() == settings_.vm().name())
    {
        take_reply(reply);
        return;
    }
    const auto bytes = datagram.SerializeAsString();
    error_code ignored; // a lost reply costs the operations in it
    socket_.send_to(asio::buffer(bytes), sender_, 0, ignored);
}

void fleet_agent::take_reply(const proto::GrantReply& reply)
{
    awaiting_grant_ = false;
    const bool overtaken =
        reply.token() != holder_token_ || reply.sequence() <= seen_view_;
    if (!overtaken)
    {
        seen_view_ = reply.sequence();
        proxy_.use_grants(now_(), reply.grants());
    }
}

/// Asks for what statements wait for.
void fleet_agent::request_grants()
{
    reported_ = now_();
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
    if (duty_.holds(now_()))
    {
        reply_to(request);
    }
    else if (holder_at_.port() != 0)
    {
        const auto bytes = datagram.SerializeAsString();
        error_code ignored; // what is missing is asked for again
        socket_.send_to(asio::buffer(bytes), holder_at_, 0, ignored);
    }
}

void fleet_agent::take_view(const proto::FleetView& view)
{
    if (view.token() == holder_token_ && view.sequence() <= seen_view_)
    {
        return; // repeated, or overtaken
    }
    const auto now = now_();
    heard_ = now;
    newest_view_ = view.sequence();
    holder_token_ = view.token();
    seen_view_ = view.sequence();
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
    proxy_.use_grants(now, view.grants());
    // The view was made after the report that it answers was sent, so what it
    // tells is at least as new as that.
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
    take_server_changes(view);
    if (is_behind(view.servers_version() > server_watch_.rows.newest(),
                  servers_behind_, own_watch_time))
    {
        nudge(server_watch_);
    }
    const bool behind = view.settings_version() > config_version_;
    if (is_behind(behind, config_behind_, own_watch_time))
    {
        nudge(config_watch_);
        if (is_behind(behind, config_behind_, own_nudge_time))
        {
            fetch_config(holder_at_.address().to_string(), holder_at_.port());
        }
    }
}

/// Whether something has been missing for `time`.
bool fleet_agent::is_behind(bool missing, std::optional<moment>& since,
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
    view.set_token(duty_.row().token());
    view.set_sequence(++view_sequence_);
    view.set_settings_version(config_version_);
    view.set_servers_version(server_watch_.rows.newest());
    add_server_changes(vm, view);
    view.set_members(members_.rows.size());
    for (const auto& [group, row] : lead_rows_)
    {
        *view.add_leads() = row.lead;
        view.add_lead_versions(row.version);
    }
    if (const auto* settings = proxy_.settings())
    {
        hub_.grant(now_(), *settings, vm, *view.mutable_grants());
    }
    hub_.add_positions(now_(), view);
    view.set_report(hub_.note_view(now_(), vm, view.sequence()));
    return view;
}

void fleet_agent::send_view(const std::string& vm)
{
    if (vm == settings_.vm().name())
    {
        take_view(view_for(vm));
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
    error_code ignored; // a lost view is followed by the next
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
    reported_ = now_();
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
    if (duty_.holds(now_()))
    {
        hub_.take_report(now_(), report);
        send_view(settings_.vm().name());
        return;
    }
    const auto& row = duty_.row();
    auto where = holder_at_;
    if (!row.holder().empty() && row.token() > holder_token_)
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
        error_code ignored; // a lost report is followed by the next
        socket_.send_to(asio::buffer(bytes), where, 0, ignored);
    }
}

void fleet_agent::report_if_short()
{
    const bool recent = now_() < reported_ + shortest_interval;
    const bool awaited = awaiting_grant_ && now_() < reported_ + grant_timeout;
    if (proxy_.limits().needs_grant(now_()) && !recent && !awaited && !asking_)
    {
        asking_ = true;
        // Later, since the proxy is in the middle of a statement.
        asio::post(context_,
                   [this]
                   {
                       asking_ = false;
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
    report_timer_.expires_after(
        proxy_.is_sealed_primary_in_use() ? hurried_interval : report_interval);
    report_timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                report_regularly();
            }
        });
}

// ---- duty -----------------------------------------------------------------

/// How long this VM leaves the duty to larger VMs once a lease has ended.
milliseconds fleet_agent::duty_patience() const
{
    const bool largest =
        std::all_of(members_.rows.begin(), members_.rows.end(),
                    [this](const auto& entry)
                    { return entry.second.row.cpu_percent() <= cpu_percent_; });
    return (largest ? milliseconds(0) : smaller_wait) +
           (duty_.knows_holder() ? milliseconds(0) : newcomer_wait);
}

void fleet_agent::keep_duty()
{
    std::minstd_rand random(static_cast<unsigned>(life_));
    while (!leaving_)
    {
        bool done = true;
        if (registered_)
        {
            done = duty_.step(heard_, duty_patience());
        }
        if (!duty_.knows_holder() && now_() >= heard_ + duty_silence)
        {
            read_members(); // tells which VM is the largest
        }
        const bool holds = duty_.holds(now_());
        if (holds && !held_duty_)
        {
            hub_.begin(duty_.former());
            read_leads(duty_store_);
            read_members();
            nudge(config_watch_);
            nudge(server_watch_);
            send_views();
        }
        held_duty_ = holds;
        const milliseconds spread(random() % look_interval.count());
        pause(!done   ? first_store_retry
              : holds ? duty_renewal
                      : look_interval + spread);
    }
}

bool fleet_agent::holds_duty()
{
    return duty_.holds(now_()) && !leaving_;
}

void fleet_agent::watch_groups()
{
    while (!leaving_)
    {
        pause(holds_duty() ? watch_interval : look_interval);
        const auto* settings = proxy_.settings();
        if (!holds_duty() || settings == nullptr)
        {
            continue;
        }
        remove_lapsed();
        if (now_() >= members_asked_ + removal_interval)
        {
            read_members();
        }
        for (const auto& [group, ignored] : settings->groups)
        {
            bool planned = false;
            if (changing_.count(group) != 0)
            {
                continue;
            }
            if (lead_rows_.count(group) == 0)
            {
                found_group(group);
            }
            else if (needs_change(group, planned))
            {
                change_lead(group, planned);
            }
        }
    }
}

bool fleet_agent::needs_change(const std::string& group, bool& planned)
{
    const auto& lead = lead_rows_.at(group).lead;
    const auto it = servers_.find(lead.primary());
    planned = it != servers_.end() && it->second.draining;
    return lead.sealed() || planned || hub_.is_lost(now_(), lead.primary()) ||
           is_misled(lead);
}

/// Whether the list has said for a while that another server leads.
bool fleet_agent::is_misled(const proto::GroupLead& lead)
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
        misled_since_.erase(lead.group());
        return false;
    }
    const auto since =
        misled_since_.try_emplace(lead.group(), now_()).first->second;
    return now_() >= since + misled_for;
}

void fleet_agent::change_lead(const std::string& group, bool planned)
{
    changing_.insert(group);
    run_fiber(
        [this, group, planned]
        {
            lead_changer changer(*this, lines_);
            const auto begun = now_();
            const auto done = changer.change(lead_rows_.at(group), planned);
            lines_.write(journal_level::change, "lead_change_ended",
                         {{"group", group},
                          {"ms", std::to_string(to_ms(now_() - begun))},
                          {"primary", done ? done->lead.primary() : "-"}});
            misled_since_.erase(group);
            for (const auto& server : servers(group))
            {
                controls_.erase(server.id);
            }
            changing_.erase(group);
        });
}

void fleet_agent::found_group(const std::string& group)
{
    if (servers(group).empty())
    {
        return;
    }
    changing_.insert(group);
    run_fiber(
        [this, group]
        {
            lead_changer changer(*this, lines_);
            const auto founded = changer.found(group);
            for (const auto& server : servers(group))
            {
                controls_.erase(server.id);
            }
            if (!founded)
            {
                pause(watch_interval);
            }
            changing_.erase(group);
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
        // Resolved by reading: the row says whether the write was done.
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

bool fleet_agent::is_sealed(const proto::GroupLead& lead,
                            std::uint64_t seal_version, moment sealed)
{
    if (hub_.is_sealed(now_(), lead, seal_version, sealed, members_))
    {
        return true;
    }
    const auto interval =
        members_.read_at < sealed ? members_interval / 4 : members_interval;
    if (members_asked_ < sealed || now_() >= members_asked_ + interval)
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

std::optional<server_role> fleet_agent::ask(const backend_server& server,
                                            const std::string& line)
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
    const auto status = control->ask(line, control_timeout);
    if (!status)
    {
        return std::nullopt;
    }
    return server_role{status->primary, status->term, status->received};
}

std::optional<server_role> fleet_agent::role(const backend_server& server)
{
    return ask(server, platform::status_line());
}

std::optional<server_role> fleet_agent::demote(const backend_server& server,
                                               std::uint64_t term)
{
    return ask(server, platform::demote_line(term));
}

promotion_answer fleet_agent::order(const std::string& group,
                                    const std::string& server)
{
    http_client_stream stream(context_);
    return platform::order_promotion(
        stream, duty_address_.address, duty_address_.port,
        {group, server, settings_.vm().name(), duty_.row().token()});
}

void fleet_agent::leave()
{
    leaving_ = true;
    duty_.resign(hub_.balances(now_()));
    store_transaction change;
    change.removals.push_back(
        {member_table, settings_.vm().name(), "", 0, false});
    const auto answer = lead_store_.write(change);
    lines_.write(
        journal_level::change, "left",
        {{"row_removed", answer.result == store_result::done ? "yes" : "no"}});
}

} // namespace tanagerhoist

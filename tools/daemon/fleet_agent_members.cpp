#include "fleet_agent.hpp"
#include "fleet_tables.hpp"

#include "tanagerhoist/fleet/fleet_schedule.hpp"
#include "tanagerhoist/fleet/table_read.hpp"

#include <utility>

// Registration, renewal of the primary lease, and the rows of all VMs.
namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

/// Most rows that one transaction may have conditions on.
constexpr std::size_t transaction_rows = 90;

std::string group_of_key(const std::string& key)
{
    return key.substr(std::char_traits<char>::length(group_prefix));
}

bool has_prefix(const std::string& key, const char* prefix)
{
    return key.rfind(prefix, 0) == 0;
}

} // namespace

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
    if (!read_leads(member_store_.rows))
    {
        return; // the caller retries
    }
    const auto members = read_table(member_store_.rows, member_table);
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
    auto retry = store_backoff();
    while (!leaving_)
    {
        if (!state_known_)
        {
            register_self();
        }
        if (!state_known_ || !write_member_row())
        {
            pause(retry.next());
            continue;
        }
        retry.reset();
        const auto renewed = now_();
        while (!leaving_ &&
               !is_renewal_due(now_(), renewed, messages_.last_contact(),
                               proxy_.members()))
        {
            pause(renewal_without_coordinator);
        }
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
    const auto answer = member_store_.rows.write(change);
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
        log_conflicts(change, answer);
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

/// Logs which rows have another version than this VM knows.
void fleet_agent::log_conflicts(const store_transaction& change,
                                const store_answer& answer)
{
    for (const auto& current : answer.rows)
    {
        for (const auto& expected : change.expected)
        {
            const bool differs = expected.table == current.table &&
                                 expected.key == current.key &&
                                 expected.version != current.version;
            if (differs)
            {
                lines_.write(log_level::change, "row_conflict",
                             {{"table", current.table},
                              {"key", current.key},
                              {"expected", std::to_string(expected.version)},
                              {"found", std::to_string(current.version)},
                              {"era", std::to_string(answer.era)}});
            }
        }
    }
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
            auto store = make_store();
            const auto answer = read_table(store.rows, member_table);
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
        const auto answer = lead_store_.rows.write(change);
        const bool done = answer.result == store_result::done;
        lines_.write(log_level::change, "vm_removed",
                     {{"gone", vm}, {"done", done ? "yes" : "no"}});
        members_.rows.erase(vm); // if that failed, the next read restores it
        return;                  // others are removed in later calls
    }
}

} // namespace tanagerhoist

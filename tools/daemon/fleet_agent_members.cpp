#include "fleet_agent.hpp"

#include "tanagerhoist/fleet/coordinator_writes.hpp"
#include "tanagerhoist/fleet/fleet_schedule.hpp"
#include "tanagerhoist/fleet/table_read.hpp"
#include "tanagerhoist/session/primary_lease.hpp"

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

} // namespace

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
    const auto own = members_.rows.find(settings_.vm().name());
    has_restarted_ = own != members_.rows.end();
    registration_.use_read(members, has_restarted_ ? own->second.version : 0);
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
        else if (!leads_.are_confirmed(era_))
        {
            read_leads(member_store_.rows);
        }
        if (!may_renew() || !write_member_row())
        {
            pause(retry.next());
            continue;
        }
        retry.reset();
        const auto renewed = now_();
        while (!leaving_ && era_of(registration_.version()) == era_ &&
               !is_renewal_due(now_(), renewed, messages_.last_contact(),
                               proxy_.members()))
        {
            pause(renewal_without_coordinator);
        }
    }
}

/// Whether this VM may write its row: until all leads are confirmed, only to
/// register.
bool fleet_agent::may_renew() const
{
    return state_known_ && (!registered_ || leads_.are_confirmed(era_));
}

/// Notes the era of an answer of the store. When it rises, leases that were
/// renewed just before may be missing from the store.
void fleet_agent::note_era(store_era era)
{
    if (era <= era_)
    {
        return;
    }
    if (era_ != 0)
    {
        lines_.write(
            log_level::change, "store_restored",
            {{"era", std::to_string(era)}, {"before", std::to_string(era_)}});
        members_.incomplete_until =
            now_() + primary_lease_duration + primary_lease_margin;
    }
    era_ = era;
}

/// Writes this VM's row on the condition that no lead known here has changed.
/// @return whether that renewed the primary lease
bool fleet_agent::write_member_row()
{
    primary_renewal_begun_ = now_();
    const auto renewal =
        registration_.write(leads_.conditions(transaction_rows - 1));
    const auto& answer = renewal.answer;
    note_era(answer.era);
    const bool done = answer.result == store_result::done;
    if (done && !registered_)
    {
        registered_ = true;
        lines_.write(log_level::change, "registered",
                     {{"life", std::to_string(life_)}});
    }
    // The store may have lost a newer lead than one that is not confirmed.
    const bool confirmed = leads_.are_confirmed(era_);
    if (done && confirmed)
    {
        proxy_.renew_primary_lease(renewal.lease_from);
        return true;
    }
    lines_.write(log_level::change, "right_not_renewed",
                 {{"cause", confirmed ? store_result_name(answer.result)
                                      : "leads not confirmed"},
                  {"took_ms", std::to_string(to_ms(now_() - answer.sent))}});
    if (answer.result == store_result::conflict)
    {
        log_conflicts(renewal.change, answer);
        for (const auto& current : answer.rows)
        {
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
    note_era(answer.era);
    std::map<std::string, fleet_member> read;
    members_.store_now = answer.now;
    members_.read_at = answer.sent;
    members_.answered_at = now_();
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
        read[row.key] = member;
        error_code error;
        const auto ip = asio::ip::make_address(member.row.address(), error);
        if (!error)
        {
            peers_[row.key] = {
                ip, static_cast<std::uint16_t>(member.row.peer_port())};
        }
    }
    members_.replace(std::move(read));
    const std::size_t others =
        members_.rows.size() - members_.rows.count(settings_.vm().name());
    proxy_.use_members(now_(), others + 1);
    coordinator_.grantor().use_members(others + 1);
}

/// Removes the row of a VM whose lease has expired, so that seals no longer
/// wait for it.
void fleet_agent::remove_expired_vms(const coordinator_term& term)
{
    for (const auto& vm : coordinator_.expired_vms(now_(), members_))
    {
        const auto version = members_.rows.at(vm).version;
        const auto answer =
            removal_store_.rows.write(vm_removal(term, vm, version));
        const bool done = answer.result == store_result::done;
        lines_.write(log_level::change, "vm_removed",
                     {{"gone", vm}, {"done", done ? "yes" : "no"}});
        members_.forget(vm, version); // the next read restores it if need be
        return;                       // others are removed in later calls
    }
}

} // namespace tanagerhoist

#include "coordinator_simulation_vm.hpp"

#include "platform/store_client.hpp"
#include "tanagerhoist/fleet/coordinator_writes.hpp"
#include "tanagerhoist/fleet/fleet_schedule.hpp"
#include "tanagerhoist/fleet/repeated_write.hpp"
#include "tanagerhoist/fleet/table_read.hpp"
#include "tanagerhoist/session/proxy.hpp"

#include <algorithm>
#include <utility>

// Rows of one VM in the store: its own, its primary lease, and leads.
namespace tanagerhoist::fuzz
{
namespace
{

constexpr const char* member_table = "members";

} // namespace

void simulated_vm::register_self()
{
    if (!read_leads(member_store_.rows))
    {
        return;
    }
    const auto members = read_table(member_store_.rows, member_table);
    if (members.result != store_result::done)
    {
        return;
    }
    apply_members(members);
    const auto own = members_.rows.find(name_);
    has_restarted_ = own != members_.rows.end();
    registration_.use_read(members, has_restarted_ ? own->second.version : 0);
    state_known_ = true;
}

void simulated_vm::maintain_primary_lease()
{
    backoff retry(milliseconds(100), milliseconds(800));
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
        const bool may_renew =
            state_known_ && (!registered_ || leads_.are_confirmed(era_));
        if (!may_renew || !write_member_row())
        {
            process_->pause(retry.next());
            continue;
        }
        retry.reset();
        const auto renewed = now();
        while (
            !leaving_ && era_of(registration_.version()) == era_ &&
            !is_renewal_due(now(), renewed, messages_.last_contact(), vm_count))
        {
            process_->pause(renewal_without_coordinator);
        }
    }
}

bool simulated_vm::write_member_row()
{
    constexpr std::size_t transaction_rows = 90;
    const auto renewal =
        registration_.write(leads_.conditions(transaction_rows - 1));
    const auto& answer = renewal.answer;
    note_era(answer.era);
    const bool done = answer.result == store_result::done;
    registered_ = registered_ || done;
    if (done && leads_.are_confirmed(era_))
    {
        primary_lease_.renew(world_.options().lease_counts_from_sending
                                 ? answer.sent
                                 : renewal.lease_from);
        return true;
    }
    if (answer.result == store_result::conflict)
    {
        for (const auto& current : answer.rows)
        {
            apply_lead_row(current);
        }
    }
    return false;
}

void simulated_vm::read_members()
{
    if (members_read_running_)
    {
        return;
    }
    members_read_running_ = true;
    members_requested_at_ = now();
    process_->spawn(
        [this]
        {
            store_connection store(world_, *process_, index_,
                                   platform::patient_write_timeout);
            const auto answer = read_table(store.rows, member_table);
            if (answer.result == store_result::done)
            {
                apply_members(answer);
            }
            members_read_running_ = false;
        });
}

void simulated_vm::apply_members(const store_answer& answer)
{
    note_era(answer.era);
    std::map<std::string, fleet_member> read;
    members_.store_now = answer.now;
    members_.read_at = answer.sent;
    members_.answered_at = now();
    for (const auto& row : answer.rows)
    {
        fleet_member member;
        member.version = row.version;
        if (member.row.ParseFromString(row.value))
        {
            read[row.key] = member;
        }
    }
    members_.replace(std::move(read));
    coordinator_.grantor().use_members(members_.rows.size() -
                                       members_.rows.count(name_) + 1);
}

void simulated_vm::note_era(store_era era)
{
    if (era <= era_)
    {
        return;
    }
    if (era_ != 0)
    {
        members_.incomplete_until =
            now() + primary_lease_duration + primary_lease_margin;
    }
    era_ = era;
}

bool simulated_vm::read_leads(row_store& store)
{
    const auto leads = read_table(store, fleet_table);
    if (leads.result != store_result::done)
    {
        return false;
    }
    note_era(leads.era);
    std::vector<std::string> groups;
    for (const auto& row : leads.rows)
    {
        apply_lead_row(row);
        groups.emplace_back(group_name);
    }
    leads_.forget_rows_except(groups, leads.version);
    return true;
}

void simulated_vm::apply_lead_row(const store_row& row)
{
    proto::GroupLead lead;
    const bool usable = row.table == fleet_table && !row.removed &&
                        row.version != 0 && lead.ParseFromString(row.value);
    if (!usable)
    {
        return;
    }
    if (leads_.apply(lead, row.version))
    {
        use_lead(lead);
    }
}

/// Takes over a lead for the sessions. A statement that runs at a sealed
/// primary is aborted after a grace period.
void simulated_vm::use_lead(const proto::GroupLead& lead)
{
    if (lead.epoch() <= used_lead_.epoch())
    {
        return;
    }
    const auto before = used_lead_.primary();
    used_lead_ = lead;
    if (!lead.sealed() && before != lead.primary())
    {
        abort_statement();
    }
    if (!lead.sealed())
    {
        return;
    }
    process_->spawn(
        [this, epoch = lead.epoch()]
        {
            process_->pause(seal_grace);
            if (used_lead_.epoch() == epoch)
            {
                abort_statement();
            }
        });
}

store_answer simulated_vm::write_lead(const coordinator_term& term,
                                      const proto::GroupLead& lead,
                                      std::uint64_t version)
{
    store_connection store(world_, *process_, index_,
                           platform::patient_write_timeout);
    const auto goes_on =
        [this, &term,
         retry = backoff(milliseconds(100), milliseconds(800))]() mutable
    {
        process_->pause(retry.next());
        return is_current(term);
    };
    auto answer = write_until_answered(
        store.rows, lead_change(term, lead, version), goes_on);
    note_era(answer.era);
    if (answer.result == store_result::done)
    {
        leads_.apply(lead, answer.version);
        use_lead(lead);
        if (const auto current = this->term())
        {
            send_views(*current);
        }
    }
    else if (answer.result == store_result::conflict ||
             answer.result == store_result::restored)
    {
        read_leads(store.rows);
    }
    return answer;
}

} // namespace tanagerhoist::fuzz

#include "fleet_agent.hpp"

#include "tanagerhoist/fleet/coordinator_writes.hpp"
#include "tanagerhoist/fleet/repeated_write.hpp"
#include "tanagerhoist/fleet/table_read.hpp"

// The leads of all groups: reading, passing on, writing.
namespace tanagerhoist
{
namespace
{

constexpr milliseconds failed_write_pause{100};

std::string group_of_key(const std::string& key)
{
    return key.substr(std::char_traits<char>::length(group_prefix));
}

bool has_prefix(const std::string& key, const char* prefix)
{
    return key.rfind(prefix, 0) == 0;
}

} // namespace

/// Reads the leads of all groups.
/// @param store a client that no other fiber is using
bool fleet_agent::read_leads(row_store& store)
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
        if (has_prefix(row.key, group_prefix))
        {
            groups.push_back(group_of_key(row.key));
        }
    }
    leads_.forget_rows_except(groups, leads.version);
    return true;
}

/// Applies the row of a group's lead; other rows are ignored.
void fleet_agent::apply_lead_row(const store_row& row)
{
    if (!has_prefix(row.key, group_prefix) || row.removed || row.version == 0)
    {
        return;
    }
    proto::GroupLead lead;
    if (!lead.ParseFromString(row.value))
    {
        lines_.write(log_level::change, "row_unreadable",
                     {{"table", fleet_table}, {"key", row.key}});
        return;
    }
    lead.set_group(group_of_key(row.key));
    if (leads_.apply(lead, row.version))
    {
        proxy_.use_lead(now_(), lead);
        report_soon();
    }
}

/// @return whether the view has a lead that is new to this VM
bool fleet_agent::use_leads(const proto::FleetView& view)
{
    bool changed = false;
    for (int i = 0; i < view.leads_size(); ++i)
    {
        const auto& lead = view.leads(i);
        told_epochs_[lead.group()] = lead.epoch();
        leads_.apply(lead,
                     i < view.lead_versions_size() ? view.lead_versions(i) : 0);
        const auto& known = proxy_.leads();
        const auto it = known.find(lead.group());
        changed =
            changed || it == known.end() || it->second.epoch() < lead.epoch();
        proxy_.use_lead(now_(), lead);
    }
    return changed;
}

/// Learns leads that a VM knows and this coordinator does not.
void fleet_agent::use_reported_leads(const proto::VmReport& report)
{
    for (const auto& lead : report.leads())
    {
        if (leads_.learn(lead))
        {
            proxy_.use_lead(now_(), lead);
        }
    }
}

/// Writes leads anew that are from before the store came back older. VMs are
/// heard first: one of them may know a lead that is lost.
void fleet_agent::confirm_leads(const coordinator_term& term)
{
    if (now_() < confirm_from_)
    {
        return;
    }
    for (const auto& [group, row] : leads_.rows())
    {
        if (!leads_.is_confirmed(group, era_) && !groups_.is_running(group))
        {
            start_confirmation(term, group);
        }
    }
}

void fleet_agent::start_confirmation(const coordinator_term& term,
                                     const std::string& group)
{
    run_operation(term, group,
                  [this, group](failover_executor& executor)
                  {
                      if (!executor.confirm_lead(*leads_.find(group)))
                      {
                          pause(failed_write_pause);
                      }
                  });
}

void fleet_agent::create_group_lead(const coordinator_term& term,
                                    const std::string& group)
{
    if (servers(group).empty())
    {
        return;
    }
    run_operation(term, group,
                  [this, group](failover_executor& executor)
                  {
                      if (!executor.create_lead(group))
                      {
                          pause(failed_write_pause);
                      }
                  });
}

/// Writes a group's row if it still has `version` and the term still runs.
store_answer fleet_agent::write_lead(const coordinator_term& term,
                                     const proto::GroupLead& lead,
                                     std::uint64_t version)
{
    const auto change = lead_change(term, lead, version);
    auto store = make_store(platform::patient_write_timeout);
    const auto goes_on = [this, &term, retry = store_backoff()]() mutable
    {
        pause(retry.next());
        return is_current(term);
    };
    auto answer = write_until_answered(store.rows, change, goes_on);
    note_era(answer.era);
    if (answer.result == store_result::done)
    {
        leads_.apply(lead, answer.version);
        proxy_.use_lead(now_(), lead);
        send_views();
    }
    else if (answer.result == store_result::conflict ||
             answer.result == store_result::restored)
    {
        read_leads(store.rows); // the row is not what this VM knows
    }
    return answer;
}

} // namespace tanagerhoist

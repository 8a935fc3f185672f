#include "tanagerhoist/fleet/failover_executor.hpp"

#include <algorithm>

// Leads that are written without a failover, and what servers say of them.
namespace tanagerhoist
{

/// Whether a server that is not the lead's primary is primary of a later term.
bool failover_executor::has_later_primary(const proto::GroupLead& lead)
{
    const auto servers = port_.servers(lead.group());
    return std::any_of(servers.begin(), servers.end(),
                       [this, &lead](const backend_server& server)
                       {
                           const auto role = port_.role(server);
                           return role && role->primary &&
                                  server.id != lead.primary() &&
                                  role->term > lead.term();
                       });
}

bool failover_executor::is_primary_demoted(const proto::GroupLead& lead)
{
    const auto primary = find(lead.group(), lead.primary());
    const auto role = primary ? port_.role(*primary) : std::nullopt;
    return role && !role->primary;
}

std::optional<group_lead_row>
failover_executor::confirm_lead(group_lead_row row)
{
    auto confirmed = row.lead;
    confirmed.set_sealed(row.lead.sealed() || has_later_primary(row.lead));
    confirmed.set_epoch(next_epoch(row.lead));
    if (!write(row, confirmed))
    {
        return std::nullopt;
    }
    lines_.write(log_level::change, "lead_confirmed",
                 {{"group", confirmed.group()},
                  {"server", confirmed.primary()},
                  {"epoch", std::to_string(confirmed.epoch())},
                  {"sealed", confirmed.sealed() ? "yes" : "no"}});
    return row;
}

std::optional<group_lead_row>
failover_executor::create_lead(const std::string& group)
{
    proto::GroupLead lead;
    lead.set_group(group);
    for (const auto& server : port_.servers(group))
    {
        if (!server.claims_primary)
        {
            continue;
        }
        const auto role = port_.role(server);
        const bool latest =
            role && role->primary &&
            (lead.primary().empty() || role->term > lead.term());
        if (latest)
        {
            lead.set_primary(server.id);
            lead.set_term(role->term);
        }
    }
    lead.set_epoch(next_epoch(lead));
    group_lead_row row;
    if (lead.primary().empty() || !write(row, lead))
    {
        return std::nullopt;
    }
    return row;
}

} // namespace tanagerhoist

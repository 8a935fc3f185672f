#include "tanagerhoist/fleet/lead_changer.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr milliseconds ack_poll{15};
constexpr milliseconds role_poll{60};

/// Longest wait for an ordered promotion before it is ordered again.
constexpr milliseconds promotion_limit{3000};
constexpr milliseconds unanswered_limit{1200};

/// Longest wait for a replica to reach the end of a demoted primary's log.
constexpr milliseconds catch_up_limit{1500};

/// Rounds of choosing before the change is left to a later call.
constexpr int most_rounds = 8;

} // namespace

lead_changer::lead_changer(lead_change_port& port, journal& lines)
    : port_(port), lines_(lines)
{
}

bool lead_changer::write(lead_row& row, const proto::GroupLead& lead)
{
    const auto answer = port_.write_lead(lead, row.version);
    if (answer.result != store_result::done)
    {
        lines_.write(
            journal_level::change, "lead_not_written",
            {{"group", lead.group()},
             {"epoch", std::to_string(lead.epoch())},
             {"cause",
              answer.result == store_result::conflict ? "conflict" : "store"}});
        return false;
    }
    row.lead = lead;
    row.version = answer.version;
    return true;
}

bool lead_changer::seal(lead_row& row)
{
    auto sealed = row.lead;
    sealed.set_epoch(sealed.epoch() + 1);
    sealed.set_sealed(true);
    return write(row, sealed);
}

std::optional<backend_server> lead_changer::find(const std::string& group,
                                                 const std::string& id)
{
    for (auto& server : port_.servers(group))
    {
        if (server.id == id)
        {
            return server;
        }
    }
    return std::nullopt;
}

/// Tries to take the lead from the old primary itself.
void lead_changer::demote_old(const proto::GroupLead& lead)
{
    const auto old = find(lead.group(), lead.primary());
    if (!old || old_end_)
    {
        return;
    }
    const auto role = port_.demote(*old, lead.term() + 1);
    if (role && !role->primary)
    {
        old_end_ = role->received;
        lines_.write(journal_level::change, "primary_demoted",
                     {{"group", lead.group()},
                      {"server", lead.primary()},
                      {"end", std::to_string(role->received.number)}});
    }
}

bool lead_changer::await_unused(const lead_row& row, moment sealed)
{
    while (!port_.is_sealed(row.lead, row.version, sealed))
    {
        if (!port_.holds_duty())
        {
            return false;
        }
        port_.pause(ack_poll);
    }
    return true;
}

std::optional<lead_row> lead_changer::change(lead_row row, bool planned)
{
    old_end_.reset();
    lines_.write(journal_level::change, "lead_change",
                 {{"group", row.lead.group()},
                  {"from", row.lead.primary()},
                  {"epoch", std::to_string(row.lead.epoch())},
                  {"planned", planned ? "yes" : "no"}});
    if (!row.lead.sealed() && !seal(row))
    {
        return std::nullopt;
    }
    const auto sealed = port_.now();
    if (!await_unused(row, sealed))
    {
        return std::nullopt;
    }
    std::set<std::string> unfit;
    for (int round = 0; round < most_rounds && port_.holds_duty(); ++round)
    {
        demote_old(row.lead);
        const auto id = choose(row.lead, unfit);
        const auto server = id ? find(row.lead.group(), *id) : std::nullopt;
        if (!server)
        {
            unfit.clear();
            port_.pause(role_poll * 2);
            continue;
        }
        const auto answer = port_.order(row.lead.group(), *id);
        lines_.write(
            journal_level::change, "promotion_ordered",
            {{"group", row.lead.group()},
             {"server", *id},
             {"answer", answer == promotion_answer::accepted       ? "accepted"
                        : answer == promotion_answer::server_unfit ? "unfit"
                                                                   : "none"}});
        if (answer == promotion_answer::server_unfit)
        {
            unfit.insert(*id);
            continue;
        }
        const auto role = await_primary(*server, row.lead,
                                        answer == promotion_answer::accepted
                                            ? promotion_limit
                                            : unanswered_limit);
        if (role)
        {
            return finish(std::move(row), *server, *role);
        }
    }
    return std::nullopt;
}

/// The server that is furthest ahead, or that already leads a later term.
std::optional<std::string>
lead_changer::choose(const proto::GroupLead& lead,
                     const std::set<std::string>& unfit)
{
    const auto until = port_.now() + catch_up_limit;
    for (;;)
    {
        std::optional<std::string> best;
        log_position ahead;
        bool leaving = false;
        bool all_told = true;
        for (const auto& server : port_.servers(lead.group()))
        {
            if (server.id == lead.primary() || unfit.count(server.id) != 0)
            {
                continue;
            }
            const auto role = port_.role(server);
            all_told = all_told && role.has_value();
            if (role && role->primary && role->term >= lead.term())
            {
                return server.id; // leads already
            }
            const bool better =
                role &&
                (!best || (leaving && !server.draining) ||
                 (leaving == server.draining && ahead < role->received));
            if (better)
            {
                best = server.id;
                ahead = role->received;
                leaving = server.draining;
            }
        }
        const bool complete =
            port_.synchronous_replicas(lead.group()) == 0 || all_told;
        const bool caught_up = !old_end_ || !(ahead < *old_end_);
        const bool waited = port_.now() >= until;
        if (best && complete && (caught_up || waited))
        {
            return best;
        }
        if (waited)
        {
            return best && complete ? best : old_again(lead);
        }
        if (!port_.holds_duty())
        {
            return std::nullopt;
        }
        port_.pause(role_poll / 2);
    }
}

/// The old primary, if no other server answers and it does again.
std::optional<std::string> lead_changer::old_again(const proto::GroupLead& lead)
{
    const auto old = find(lead.group(), lead.primary());
    if (old && port_.role(*old))
    {
        return old->id;
    }
    return std::nullopt;
}

std::optional<server_role>
lead_changer::await_primary(const backend_server& server,
                            const proto::GroupLead& lead, milliseconds limit)
{
    const auto until = port_.now() + limit;
    while (port_.now() < until)
    {
        const auto role = port_.role(server);
        // With the lead's own term it is the server that replaced the old
        // primary and took over its log, or the old primary itself.
        if (role && role->primary && role->term >= lead.term())
        {
            return role;
        }
        port_.pause(role_poll);
    }
    return std::nullopt;
}

std::optional<lead_row> lead_changer::finish(lead_row row,
                                             const backend_server& server,
                                             const server_role& role)
{
    auto lead = row.lead;
    lead.set_epoch(lead.epoch() + 1);
    lead.set_sealed(false);
    lead.set_primary(server.id);
    lead.set_term(role.term);
    lead.set_base_term(role.received.term);
    lead.set_base_number(role.received.number);
    if (!write(row, lead))
    {
        return std::nullopt;
    }
    return row;
}

std::optional<lead_row> lead_changer::found(const std::string& group)
{
    for (const auto& server : port_.servers(group))
    {
        if (!server.claims_primary)
        {
            continue;
        }
        const auto role = port_.role(server);
        if (!role || !role->primary)
        {
            continue;
        }
        lead_row row;
        proto::GroupLead lead;
        lead.set_group(group);
        lead.set_epoch(1);
        lead.set_primary(server.id);
        lead.set_term(role->term);
        if (write(row, lead))
        {
            return row;
        }
    }
    return std::nullopt;
}

} // namespace tanagerhoist

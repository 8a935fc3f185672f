#include "tanagerhoist/fleet/failover_executor.hpp"
#include "tanagerhoist/fleet/promotion_history.hpp"

#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr milliseconds ack_poll_interval{15};
constexpr milliseconds role_poll_interval{60};

/// Wait for an accepted promotion before it is requested again.
constexpr milliseconds promotion_timeout{3000};

/// The same for a promotion request that was not answered.
constexpr milliseconds unanswered_promotion_timeout{1200};

/// Wait for the VMs after which the old primary is demoted at once, so that
/// reads at replicas can go on. Until then running transactions may end.
constexpr milliseconds early_demotion_delay{500};

/// Interval at which an early demotion is confirmed: a server that restarts may
/// come back as primary.
constexpr milliseconds demotion_interval{300};

/// The same if the old primary does not answer: each try takes its timeout,
/// during which the wait for the VMs is not checked.
constexpr milliseconds unanswered_demotion_interval{2000};

/// Attempts to promote a server before the failover is left to a later call.
constexpr int max_attempts = 8;

} // namespace

failover_executor::failover_executor(failover_port& port, structured_log& lines)
    : port_(port), lines_(lines)
{
}

bool failover_executor::write(group_lead_row& row, const proto::GroupLead& lead)
{
    const auto answer = port_.write_lead(lead, row.version);
    if (answer.result != store_result::done)
    {
        lines_.write(
            log_level::change, "lead_not_written",
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

std::uint64_t failover_executor::next_epoch(const proto::GroupLead& lead)
{
    return next_number(lead.epoch(), port_.era());
}

bool failover_executor::seal(group_lead_row& row)
{
    auto sealed = row.lead;
    sealed.set_epoch(next_epoch(row.lead));
    sealed.set_sealed(true);
    return write(row, sealed);
}

std::optional<backend_server> failover_executor::find(const std::string& group,
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

/// Demotes the old primary if it is reachable, or confirms that it still is a
/// replica, and records its log end.
void failover_executor::demote_old_primary(const proto::GroupLead& lead)
{
    const auto sent = port_.now();
    next_demotion_at_ = sent + unanswered_demotion_interval;
    const auto old = find(lead.group(), lead.primary());
    if (!old)
    {
        return;
    }
    const auto role = port_.demote(*old, lead.term() + 1);
    if (role && role->primary && role->term > lead.term())
    {
        old_primary_term_ = role->term;
        newest_term_ = std::max(newest_term_, role->term);
    }
    if (!role || role->primary)
    {
        return;
    }
    next_demotion_at_ = sent + demotion_interval;
    const bool longer = !old_log_end_ || *old_log_end_ < role->received;
    if (longer)
    {
        old_log_end_ = role->received;
        lines_.write(log_level::change, "primary_demoted",
                     {{"group", lead.group()},
                      {"server", lead.primary()},
                      {"end", std::to_string(role->received.number)}});
    }
    port_.confirm_log_end(lead, *old_log_end_, sent);
}

bool failover_executor::wait_until_unused(const group_lead_row& row,
                                          moment sealed)
{
    while (!port_.is_primary_unused(row.lead, row.version, sealed))
    {
        const bool lost = era_of(row.version) < port_.era();
        if (lost || !port_.is_coordinator())
        {
            return false;
        }
        const auto now = port_.now();
        if (now >= sealed + early_demotion_delay && now >= next_demotion_at_)
        {
            demote_old_primary(row.lead);
        }
        port_.pause(ack_poll_interval);
    }
    return true;
}

/// Waits before a server is chosen, so that the choice is not old when its
/// promotion is requested.
/// @return false if the term is over
bool failover_executor::wait_until_order_allowed()
{
    while (port_.is_coordinator() && !port_.may_order())
    {
        port_.pause(ack_poll_interval);
    }
    return port_.is_coordinator();
}

std::optional<group_lead_row>
failover_executor::change_primary(group_lead_row row, bool planned)
{
    old_log_end_.reset();
    old_primary_term_.reset();
    pending_.reset();
    diverged_.clear();
    newest_term_ = row.lead.term();
    next_demotion_at_ = moment{};
    lines_.write(log_level::change, "lead_change",
                 {{"group", row.lead.group()},
                  {"from", row.lead.primary()},
                  {"epoch", std::to_string(row.lead.epoch())},
                  {"planned", planned ? "yes" : "no"}});
    if (!row.lead.sealed() && !seal(row))
    {
        return std::nullopt;
    }
    const auto sealed = port_.now();
    if (!wait_until_unused(row, sealed))
    {
        return std::nullopt;
    }
    std::set<std::string> ineligible;
    for (int round = 0; round < max_attempts && wait_until_order_allowed();
         ++round)
    {
        if (round == 0 || !old_log_end_)
        {
            demote_old_primary(row.lead);
        }
        const auto id = choose_server(row.lead, ineligible);
        const auto server = id ? find(row.lead.group(), *id) : std::nullopt;
        if (!server)
        {
            ineligible.clear();
            port_.pause(role_poll_interval * 2);
            continue;
        }
        const auto role = promote(*server, row.lead, ineligible);
        if (role)
        {
            return publish_primary(std::move(row), *server, *role);
        }
    }
    return std::nullopt;
}

/// Requests the promotion of a server and waits until it leads.
/// @param ineligible gets the server if the platform doesn't promote it
std::optional<server_role>
failover_executor::promote(const backend_server& server,
                           const proto::GroupLead& lead,
                           std::set<std::string>& ineligible)
{
    if (!port_.is_coordinator())
    {
        return std::nullopt; // the choice of the server has taken its time
    }
    const auto answer = port_.request_promotion(lead.group(), server.id);
    lines_.write(log_level::change, "promotion_ordered",
                 {{"group", lead.group()},
                  {"server", server.id},
                  {"answer", promotion_result_name(answer)}});
    switch (answer)
    {
    case promotion_result::accepted:
        pending_.reset();
        return wait_for_primary(server, promotion_timeout);
    case promotion_result::unanswered:
        pending_ = server.id;
        return wait_for_primary(server, unanswered_promotion_timeout);
    case promotion_result::not_eligible:
        pending_.reset();
        ineligible.insert(server.id);
        return std::nullopt;
    case promotion_result::not_sent:
        port_.pause(role_poll_interval * 2);
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

/// Returns the server whose promotion may still happen, so that the platform
/// answers for it before another is promoted, else the best one.
std::optional<std::string>
failover_executor::choose_server(const proto::GroupLead& lead,
                                 const std::set<std::string>& ineligible)
{
    if (pending_ && find(lead.group(), *pending_))
    {
        return pending_;
    }
    return choose_candidate(lead, ineligible);
}

std::optional<server_role>
failover_executor::wait_for_primary(const backend_server& server,
                                    milliseconds limit)
{
    const auto until = port_.now() + limit;
    while (port_.now() < until && port_.is_coordinator())
    {
        const auto role = port_.role(server);
        // A primary of an older term has been replaced by another one.
        if (role && role->primary && role->term >= newest_term_)
        {
            return role;
        }
        port_.pause(role_poll_interval);
    }
    return std::nullopt;
}

std::optional<group_lead_row> failover_executor::publish_primary(
    group_lead_row row, const backend_server& server, const server_role& role)
{
    auto lead = row.lead;
    lead.set_epoch(next_epoch(row.lead));
    lead.set_sealed(false);
    lead.set_primary(server.id);
    lead.set_term(role.term);
    lead.set_base_term(role.received.term);
    lead.set_base_number(role.received.number);
    promotion_history::add(lead, role.term, role.received);
    if (!write(row, lead))
    {
        return std::nullopt;
    }
    return row;
}

} // namespace tanagerhoist

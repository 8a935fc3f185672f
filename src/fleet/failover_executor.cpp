#include "tanagerhoist/fleet/failover_executor.hpp"

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

/// Wait for a replica to reach the log end of the demoted primary.
constexpr milliseconds catch_up_timeout{1500};

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

/// Whether a candidate is better than another. With synchronous replicas no
/// preference outweighs the log, which may hold the last commit.
bool failover_executor::is_better(const candidate& one, const candidate& other,
                                  bool synchronous)
{
    if (synchronous && !(one.log_end == other.log_end))
    {
        return other.log_end < one.log_end;
    }
    if (one.draining != other.draining)
    {
        return other.draining;
    }
    return other.log_end < one.log_end;
}

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

/// Asks the group's servers, but for the old primary, for their roles.
failover_executor::candidates
failover_executor::ask_candidates(const proto::GroupLead& lead,
                                  const std::set<std::string>& ineligible)
{
    const bool synchronous = port_.synchronous_replicas(lead.group()) != 0;
    candidates found;
    for (const auto& server : port_.servers(lead.group()))
    {
        const bool refused = ineligible.count(server.id) != 0;
        if (server.id == lead.primary() || (refused && !synchronous))
        {
            continue;
        }
        const auto role = port_.role(server);
        const auto log_end = role ? role->received : log_position{};
        if (refused)
        {
            found.newest_refused = std::max(found.newest_refused, log_end);
            continue;
        }
        found.all_answered = found.all_answered && role.has_value();
        newest_term_ = std::max(newest_term_, role ? role->term : 0);
        if (role && role->primary && role->term >= newest_term_)
        {
            found.promoted = server.id;
            found.promoted_term = role->term;
        }
        const candidate present{log_end, server.draining};
        if (role && (!found.best ||
                     is_better(present, found.best_candidate, synchronous)))
        {
            found.best = server.id;
            found.best_candidate = present;
        }
    }
    return found;
}

/// Returns a server that is already primary of the newest term that any server
/// has told, also if that is the old primary, else the most up-to-date one,
/// preferring servers that are not draining. With synchronous replicas all
/// eligible servers must answer, since any of them may hold the last commit.
std::optional<std::string>
failover_executor::choose_candidate(const proto::GroupLead& lead,
                                    const std::set<std::string>& ineligible)
{
    const auto until = port_.now() + catch_up_timeout;
    const bool synchronous = port_.synchronous_replicas(lead.group()) != 0;
    for (;;)
    {
        const auto found = ask_candidates(lead, ineligible);
        const auto& best = found.best;
        const auto& log_end = found.best_candidate.log_end;
        if (old_primary_term_ == newest_term_)
        {
            return lead.primary();
        }
        if (found.promoted && found.promoted_term == newest_term_)
        {
            return found.promoted; // and not replaced again
        }
        if (best && log_end < found.newest_refused)
        {
            return std::nullopt; // the refused server may hold the last commit
        }
        const bool complete = !synchronous || found.all_answered;
        const bool caught_up = !old_log_end_ || !(log_end < *old_log_end_);
        const bool waited = port_.now() >= until;
        if (best && complete && (caught_up || waited))
        {
            return best;
        }
        if (waited)
        {
            return best && complete ? best : reachable_old_primary(lead);
        }
        if (!port_.is_coordinator())
        {
            return std::nullopt;
        }
        port_.pause(role_poll_interval / 2);
    }
}

/// Returns the old primary if it answers, as fallback if no other server can be
/// promoted. It must have been demoted: one that still leads the old term can't
/// be told from one that was promoted again, and another server may lead.
std::optional<std::string>
failover_executor::reachable_old_primary(const proto::GroupLead& lead)
{
    const auto old = find(lead.group(), lead.primary());
    if (old && old_log_end_ && port_.role(*old))
    {
        return old->id;
    }
    return std::nullopt;
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
    if (!write(row, lead))
    {
        return std::nullopt;
    }
    return row;
}

} // namespace tanagerhoist

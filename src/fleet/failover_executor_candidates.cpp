#include "tanagerhoist/fleet/failover_executor.hpp"
#include "tanagerhoist/fleet/promotion_history.hpp"

#include <algorithm>

// Which server is promoted.
namespace tanagerhoist
{
namespace
{

/// Wait for a replica to reach the log end of the demoted primary.
constexpr milliseconds catch_up_timeout{1500};

constexpr milliseconds candidate_poll_interval{30};

} // namespace

/// Whether a candidate is better than another. One whose log has diverged is
/// the last choice. With synchronous replicas no other preference outweighs the
/// log, which may hold the last commit.
bool failover_executor::is_better(const candidate& one, const candidate& other,
                                  bool synchronous)
{
    if (one.diverged != other.diverged)
    {
        return other.diverged;
    }
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

/// Asks the group's servers, but for the old primary, for their roles.
failover_executor::candidate_answers
failover_executor::ask_candidates(const proto::GroupLead& lead,
                                  const std::set<std::string>& ineligible)
{
    const bool synchronous = port_.synchronous_replicas(lead.group()) != 0;
    const promotion_history history(lead);
    candidate_answers found;
    for (const auto& server : port_.servers(lead.group()))
    {
        const bool refused = ineligible.count(server.id) != 0;
        if (server.id == lead.primary() || (refused && !synchronous))
        {
            continue;
        }
        const auto role = port_.role(server);
        const auto log_end = role ? role->received : log_position{};
        const bool diverged = history.has_diverged(log_end);
        if (diverged)
        {
            note_diverged(lead, server.id, log_end);
        }
        // What was cut off stands for no commit that must be kept.
        const auto kept_end = diverged ? log_position{} : log_end;
        if (refused)
        {
            found.newest_refused = std::max(found.newest_refused, kept_end);
            continue;
        }
        auto& answered = server.is_evacuated() ? found.all_evacuated_answered
                                               : found.all_answered;
        answered = answered && role.has_value();
        newest_term_ = std::max(newest_term_, role ? role->term : 0);
        if (role && role->primary && role->term >= newest_term_)
        {
            found.promoted = server.id;
            found.promoted_term = role->term;
        }
        if (server.is_evacuated())
        {
            if (synchronous)
            {
                found.newest_refused = std::max(found.newest_refused, kept_end);
            }
            continue;
        }
        const candidate present{log_end, server.draining, diverged};
        if (role && (!found.best ||
                     is_better(present, found.best_candidate, synchronous)))
        {
            found.best = server.id;
            found.best_candidate = present;
        }
    }
    return found;
}

/// Logs once in a failover that a server holds commits that were taken back.
void failover_executor::note_diverged(const proto::GroupLead& lead,
                                      const std::string& server,
                                      const log_position& log_end)
{
    if (diverged_.insert(server).second)
    {
        lines_.write(log_level::change, "candidate_diverged",
                     {{"group", lead.group()},
                      {"server", server},
                      {"term", std::to_string(log_end.term)},
                      {"end", std::to_string(log_end.number)}});
    }
}

/// Returns a server that is already primary of the newest term that any server
/// has told, also if that is the old primary, else the most up-to-date one,
/// preferring servers that are not draining. With synchronous replicas all
/// eligible servers must answer, since any of them may hold the last commit.
/// Servers in evacuated data centres are never chosen anew; once they are
/// closed, the log end of the demoted primary stands for their answers. A
/// server whose log has diverged is chosen only if no other has answered in
/// time.
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
        const bool caught_up = !old_log_end_ || !(log_end < *old_log_end_);
        const bool has_all_commits = old_log_end_ && caught_up;
        const bool complete =
            !synchronous || (found.all_answered &&
                             (found.all_evacuated_answered || has_all_commits));
        const bool waited = port_.now() >= until;
        const bool diverged = found.best_candidate.diverged;
        if (best && complete && !diverged && (caught_up || waited))
        {
            return best;
        }
        if (waited)
        {
            const auto old = reachable_old_primary(lead);
            return old || !complete ? old : best;
        }
        if (!port_.is_coordinator())
        {
            return std::nullopt;
        }
        port_.pause(candidate_poll_interval);
    }
}

/// Returns the old primary if it answers, as fallback if no other server can be
/// promoted. It must have been demoted: one that still leads the old term can't
/// be told from one that was promoted again, and another server may lead.
std::optional<std::string>
failover_executor::reachable_old_primary(const proto::GroupLead& lead)
{
    const auto old = find(lead.group(), lead.primary());
    if (old && !old->is_evacuated() && old_log_end_ && port_.role(*old))
    {
        return old->id;
    }
    return std::nullopt;
}

} // namespace tanagerhoist

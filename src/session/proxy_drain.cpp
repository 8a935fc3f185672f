#include "tanagerhoist/session/answer_classes.hpp"
#include "tanagerhoist/session/proxy.hpp"

#include <algorithm>
#include <iterator>
#include <vector>

// Leaving of a VM: what it still takes, and the answers to what it can't end.
namespace tanagerhoist
{
namespace
{

/// Nearly all answers come within this part's time.
constexpr double nearly_all = 0.99;

constexpr const char* leaving_text =
    "this VM is leaving, not run, retry on a new connection";

} // namespace

void proxy::begin_drain(const drain_schedule& schedule)
{
    drain_ = schedule;
    for (auto& [id, session] : sessions_)
    {
        if (session.request.stage != request_stage::none)
        {
            limit_to_drain(session.request);
        }
    }
}

/// Lets a statement expire no later than this VM leaves.
void proxy::limit_to_drain(session_request& request) const
{
    if (drain_ && drain_->leaves() < request.expires)
    {
        request.expires = drain_->leaves();
        request.ends_with_vm = true;
    }
}

/// Whether too little time is left for the answer of a statement that would be
/// sent to a server now.
bool proxy::is_too_late(moment now, const client_session& session) const
{
    return !drain_->takes_statement(now, expected_answer_time(now, session));
}

/// Refuses a statement that has not been sent to a server.
void proxy::refuse_while_leaving(moment now, session_id id,
                                 client_session& session)
{
    if (session.state == transaction_state::open)
    {
        abort_transaction(now, id, session, "leaving",
                          "this VM is leaving, rolled back");
        return;
    }
    ++figures_.refusals["leaving"];
    answer_error(now, id, session, session_error::busy, leaving_text);
}

/// Rejects the waiting statements that it has become too late for.
void proxy::reject_too_late(moment now, const std::string& group)
{
    std::vector<session_id> rejected;
    const auto& waiting = groups_[group].waiting;
    std::copy_if(waiting.begin(), waiting.end(), std::back_inserter(rejected),
                 [this, now](session_id id)
                 { return is_too_late(now, sessions_.at(id)); });
    for (const auto id : rejected)
    {
        const auto it = sessions_.find(id);
        if (it != sessions_.end() &&
            it->second.request.stage == request_stage::waiting)
        {
            ++figures_.refusals["leaving"];
            reject_waiting_as_leaving(now, id, it->second);
        }
    }
}

/// Rejects a statement that waits for another try, or for its first one. A
/// read or a transaction may have run before without an effect.
void proxy::reject_waiting_as_leaving(moment now, session_id id,
                                      client_session& session)
{
    if (session.request.possible_runs == 0)
    {
        refuse_waiting(now, id, session, session_error::busy, leaving_text);
        return;
    }
    const bool in_transaction = session.state == transaction_state::open;
    refuse_waiting(now, id, session,
                   in_transaction ? session_error::aborted
                                  : session_error::failed,
                   "this VM is leaving, no other try");
}

/// Time within which nearly all answers to such statements come.
microseconds proxy::expected_answer_time(moment now,
                                         const client_session& session) const
{
    const auto* times = known_times(answer_times_, session, class_of(session));
    const auto known =
        times == nullptr ? std::nullopt : times->quantile(nearly_all);
    return known.value_or(likely_answer_time(now, session.group));
}

/// Answers a statement that is not over when this VM leaves.
void proxy::answer_overtaken(moment now, session_id id, client_session& session)
{
    ++figures_.refusals["leaving"];
    if (session.request.stage == request_stage::running)
    {
        break_off(now, id, session, session_error::failed,
                  "this VM is leaving, the server has not answered");
        return;
    }
    reject_waiting_as_leaving(now, id, session);
}

/// Ends the sessions that a leaving VM no longer needs.
void proxy::drain(moment now)
{
    std::vector<session_id> ending;
    for (const auto& [id, session] : sessions_)
    {
        const auto last = std::max(session.started, session.answered);
        const bool outstanding = session.request.stage != request_stage::none;
        const bool over = session.is_idle()
                              ? drain_->closes_session(now, last, session.used)
                              : !outstanding && now >= drain_->closes_idle() &&
                                    now >= drain_->ends_transactions();
        if (over)
        {
            ending.push_back(id);
        }
    }
    for (const auto id : ending)
    {
        end_session(now, id, std::nullopt);
    }
}

} // namespace tanagerhoist

#include "tanagerhoist/session/proxy.hpp"
#include "tanagerhoist/session/retry_spread.hpp"

#include <array>
#include <string>
#include <utility>

// Admission of statements by the limits of their workspaces.
namespace tanagerhoist
{
namespace
{

/// Longest time that a statement waits for a grant.
constexpr milliseconds max_grant_wait{300};

/// What a refusal is counted as, and what its caller is told.
struct refusal_word
{
    const char* counter;
    const char* text;
};
constexpr std::array<refusal_word, 3> refusal_words{
    {{"over_rate", "over the workspace's rate"},
     {"no_grant", "no operation granted in time"},
     {"no_coordinator", "no coordinator grants operations"}}};

} // namespace

/// Takes an operation from the workspace's limit. If none is left, the
/// statement is held for a short time if a grant can be expected, and refused
/// otherwise.
bool proxy::admit(moment now, session_id id, client_session& session)
{
    const bool again = session.request.stage == request_stage::held;
    if (session.workspace.empty() ||
        limits_.take(now, session.workspace, again))
    {
        if (!session.workspace.empty())
        {
            session.operation.take();
        }
        session.request.stage = request_stage::waiting;
        session.used = true;
        return true;
    }
    if (again)
    {
        return false;
    }
    if (limits_.may_receive_grant(now, session.workspace))
    {
        session.request.stage = request_stage::held;
        held_.push_back(id);
        limits_.note_held(session.workspace);
        transport_.request_grant();
        return false;
    }
    refuse_rate(now, id, session);
    return false;
}

/// Ends a session's operation. One of which nothing has run at a server is
/// given back to its workspace.
void proxy::end_operation(client_session& session)
{
    if (session.operation.end())
    {
        limits_.refund(session.workspace);
    }
}

void proxy::refuse_rate(moment now, session_id id, client_session& session)
{
    const auto refusal =
        limits_.refusal(now, session.workspace, retry_part(session.request.id));
    const auto& words =
        refusal_words.at(static_cast<std::size_t>(refusal.cause));
    ++figures_.refusals[words.counter];
    answer_error(now, id, session, session_error::busy,
                 std::string(words.text) + ", not run, retry in " +
                     std::to_string(refusal.retry.count()) + " ms",
                 limits_.describe(now, session.workspace));
}

/// Admits or refuses held statements.
void proxy::admit_held(moment now)
{
    const auto order = std::exchange(held_, {});
    for (const auto id : order)
    {
        const auto it = sessions_.find(id);
        if (it == sessions_.end() ||
            it->second.request.stage != request_stage::held)
        {
            continue;
        }
        auto& session = it->second;
        const bool over = now >= session.request.arrived + max_grant_wait;
        if (admit(now, id, session))
        {
            const auto kind = session.request.what.kind;
            const bool begins = kind == statement_kind::begin ||
                                kind == statement_kind::begin_read;
            if (begins)
            {
                open_transaction(now, id, session);
            }
            else
            {
                submit_to_server(now, id, session);
            }
        }
        else if (over || !limits_.may_receive_grant(now, session.workspace))
        {
            refuse_rate(now, id, session);
        }
        else
        {
            held_.push_back(id);
        }
    }
}

workspace_limits::held_statements proxy::held_statements() const
{
    workspace_limits::held_statements found;
    for (const auto id : held_)
    {
        const auto it = sessions_.find(id);
        if (it != sessions_.end() &&
            it->second.request.stage == request_stage::held)
        {
            ++found[it->second.workspace];
        }
    }
    return found;
}

void proxy::use_handover_reply(moment now, const proto::HandoverReply& reply)
{
    if (limits_.use_handover_reply(reply))
    {
        run_pass(now, [this, now] { admit_held(now); });
    }
}

void proxy::use_new_coordinator()
{
    limits_.forget_held();
    for (const auto id : held_)
    {
        const auto it = sessions_.find(id);
        if (it != sessions_.end() &&
            it->second.request.stage == request_stage::held)
        {
            limits_.note_held(it->second.workspace);
        }
    }
}

void proxy::use_grants(moment now, const workspace_limits::grants& given,
                       bool in_term)
{
    grants_heard_ = now;
    limits_.use_grants(now, given, in_term);
    run_pass(now, [this, now] { admit_held(now); });
}

} // namespace tanagerhoist

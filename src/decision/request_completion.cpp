// Last part of request processing: from the result to the caller's answer.

#include "tanagerhoist/core/log_point.hpp"
#include "tanagerhoist/decision/request_flow.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{
namespace
{

proto::CallerReply make_reply(const std::string& request_id, result_code code,
                              const std::string& message)
{
    proto::CallerReply reply;
    const auto& row = info(code);
    reply.set_request_id(request_id);
    reply.set_code(static_cast<std::uint32_t>(code));
    reply.set_message(message.empty() ? std::string(row.message) : message);
    reply.set_outcome(std::string(name(row.outcome)));
    return reply;
}

} // namespace

void request_flow::answer(moment now, std::uint64_t id, result_code code,
                          const std::string& message)
{
    auto node = requests_.extract(id);
    request& r = node.mapped();
    release(now, r, false);
    remove_from_queues(r);
    const bool claims_no_effect = info(code).outcome == outcome::not_run;
    if (r.maybe_ran && claims_no_effect)
    {
        code = result_code::outcome_unknown;
    }
    else if (claims_no_effect && r.charged)
    {
        modules_.limits.refund(now, r.principal.workspace());
    }
    auto reply = make_reply(r.wire.request_id(), code, message);
    if (code == result_code::ok)
    {
        reply.set_value(r.result.value());
        reply.set_served_by(r.server);
        reply.set_transaction(r.wire.transaction());
        fill_token(r, reply);
    }
    if (code == result_code::over_rate)
    {
        reply.set_retry_after_ms(
            to_ms(modules_.limits.retry_after(now, r.principal.workspace())));
    }
    const bool keep = code == result_code::ok && r.is_write();
    const auto calls = modules_.registry.finish(now, r.call, reply, keep);
    send_answer(calls.empty() ? std::vector<std::uint64_t>{r.call} : calls,
                reply);
    note(r, "answered", r.is_write() ? "write" : "read", code, message);
}

/// Removes the request from the queue in which it waits.
void request_flow::remove_from_queues(const request& r)
{
    paused_.erase(r.id);
    if (r.state == request_state::queued)
    {
        lane_of(r).queue.erase(r.id);
    }
    const auto line = admitting_.find(r.principal.workspace());
    if (r.state == request_state::admitting && line != admitting_.end())
    {
        auto& ids = line->second;
        ids.erase(std::remove(ids.begin(), ids.end(), r.id), ids.end());
    }
}

/// Adds the log point of the answer to the caller's token. A read on a route
/// with a tolerated age leaves the token unchanged: the caller accepts data of
/// that age, and including the log point would require later reads to be newer.
void request_flow::fill_token(const request& r, proto::CallerReply& reply) const
{
    auto& token = *reply.mutable_token();
    token = r.wire.token();
    if (token.session().empty())
    {
        token.set_session(r.wire.session());
    }
    const bool updates_token = r.is_write() || r.route.tolerated_age_ms() == 0;
    const bool uncommitted =
        r.in_transaction() && r.wire.step() != proto::TRANSACTION_COMMIT;
    if (!updates_token || uncommitted)
    {
        return;
    }
    auto& seen = (*token.mutable_seen())[r.route.database()];
    if (seen < r.result.point())
    {
        seen = r.result.point();
    }
}

void request_flow::send_answer(const std::vector<std::uint64_t>& calls,
                               const proto::CallerReply& reply)
{
    for (const auto call : calls)
    {
        proto::Action action;
        action.mutable_answer_caller()->set_call(call);
        *action.mutable_answer_caller()->mutable_reply() = reply;
        modules_.out.add(std::move(action));
    }
}

void request_flow::answer_immediately(const proto::CallerArrived& arrived,
                                      result_code code)
{
    send_answer({arrived.call()},
                make_reply(arrived.request().request_id(), code, ""));
    request r;
    r.wire = arrived.request();
    r.principal = arrived.principal();
    note(r, "answered", "checked", code);
}

void request_flow::note(const request& r, const char* kind, const char* rule,
                        result_code code, const std::string& detail)
{
    proto::Event event;
    event.set_kind(kind);
    event.set_rule(rule);
    event.set_code(static_cast<std::uint32_t>(code));
    event.set_request_id(r.wire.request_id());
    event.set_session(r.wire.token().session().empty()
                          ? r.wire.session()
                          : r.wire.token().session());
    event.set_workspace(r.principal.workspace());
    event.set_database(r.route.database());
    event.set_server(r.server);
    event.set_detail(detail);
    modules_.out.note(std::move(event));
}

} // namespace tanagerhoist

// Third part of request processing: from a server's reply to the result.

#include "tanagerhoist/decision/read_acceptance.hpp"
#include "tanagerhoist/decision/request_flow.hpp"

#include <utility>

namespace tanagerhoist
{

void request_flow::on_database(moment now, std::uint64_t id,
                               const proto::DatabaseReply* reply, bool sent)
{
    request* r = find(id);
    if (r == nullptr)
    {
        return;
    }
    r->tag = 0;
    release_queue_slot(now, *r);
    if (reply == nullptr || !reply->has_execute())
    {
        modules_.replicas.failed(now, r->server);
        modules_.primaries.report_failure(now, r->route.database(), r->server);
        on_failure(now, *r, sent);
        return;
    }
    const auto& execute = reply->execute();
    modules_.replicas.observed(now, r->server, execute.point(),
                               milliseconds(execute.age_ms()));
    if (execute.outcome() != proto::DATABASE_OK &&
        execute.outcome() != proto::DATABASE_DUPLICATE)
    {
        on_refused(now, *r, execute);
    }
    else if (r->in_transaction())
    {
        on_transaction_step(now, *r, execute);
    }
    else if (r->is_write())
    {
        on_write(now, *r, execute);
    }
    else
    {
        on_read(now, *r, execute);
    }
}

/// Handles a call without a reply. A write may be sent again with its request
/// id, which the database stores in its replicated log: the repeat is
/// recognized as a duplicate or, if a promotion lost the first entry, takes its
/// place.
void request_flow::on_failure(moment now, request& r, bool sent)
{
    if (r.continues_transaction())
    {
        const bool commit = r.wire.step() == proto::TRANSACTION_COMMIT;
        abort_transaction(now, r);
        answer(now, r.id,
               commit && sent ? result_code::outcome_unknown
                              : result_code::transaction_aborted);
        return;
    }
    release(now, r, false);
    after_attempt(now, r, sent, nullptr);
}

/// Retries or answers a request after an unsuccessful attempt, as the retry
/// policy decides.
void request_flow::after_attempt(moment now, request& r, bool sent,
                                 const proto::ExecuteReply* reply)
{
    attempt_result end;
    end.kind = r.is_write() ? proto::STATEMENT_WRITE : proto::STATEMENT_READ;
    end.step = r.wire.step();
    end.idempotent = is_yes(r.route.idempotent());
    end.has_request_id = !r.wire.request_id().empty();
    end.sent = sent;
    if (reply != nullptr)
    {
        end.answer = reply->outcome();
    }
    end.may_have_run_before = r.maybe_ran;
    end.attempts = r.attempts;
    end.time_left = now < r.deadline;
    const auto decision = modules_.retries.after(end);
    r.maybe_ran = decision.may_have_run;
    if (decision.step == next_step::retry_elsewhere)
    {
        retry(now, r, r.lane);
        return;
    }
    answer(now, r.id, decision.code, reply == nullptr ? "" : reply->error());
}

void request_flow::on_refused(moment now, request& r,
                              const proto::ExecuteReply& reply)
{
    if (reply.outcome() == proto::DATABASE_STATEMENT_ERROR)
    {
        if (r.continues_transaction())
        {
            keep_transaction(now, r);
        }
        release(now, r, true);
        after_attempt(now, r, true, &reply);
        return;
    }
    if (r.continues_transaction())
    {
        abort_transaction(now, r);
        answer(now, r.id, result_code::transaction_aborted);
        return;
    }
    modules_.primaries.report_failure(now, r.route.database(), r.server);
    release(now, r, true);
    after_attempt(now, r, true, &reply);
}

void request_flow::on_read(moment now, request& r,
                           const proto::ExecuteReply& reply)
{
    const auto* belief = modules_.primaries.primary(r.route.database());
    const bool at_primary = belief != nullptr && belief->server() == r.server;
    release(now, r, true);
    r.result = reply;
    if (!is_read_acceptable(reply, r.token, r.has_token,
                            milliseconds(r.route.tolerated_age_ms()),
                            at_primary))
    {
        if (at_primary)
        {
            modules_.primaries.report_failure(now, r.route.database(),
                                              r.server);
        }
        r.stale_servers.insert(r.server);
        retry(now, r, lane_kind::primary);
        return;
    }
    if (r.confirm_read)
    {
        confirm(now, r, reply);
        return;
    }
    answer(now, r.id, result_code::ok);
}

void request_flow::on_write(moment now, request& r,
                            const proto::ExecuteReply& reply)
{
    release(now, r, true);
    r.maybe_ran = true;
    r.result = reply;
    confirm(now, r, reply);
}

void request_flow::on_transaction_step(moment now, request& r,
                                       const proto::ExecuteReply& reply)
{
    r.result = reply;
    switch (r.wire.step())
    {
    case proto::TRANSACTION_BEGIN:
    {
        const auto id = modules_.transactions.begin(
            now, r.user(), r.route.database(), r.server, r.connection);
        r.wire.set_transaction(id);
        r.connection = 0; // owned by the transaction from now on
        answer(now, r.id, result_code::ok);
        break;
    }
    case proto::TRANSACTION_COMMIT:
        modules_.transactions.finish(r.wire.transaction());
        release(now, r, true);
        r.maybe_ran = true;
        confirm(now, r, reply);
        break;
    case proto::TRANSACTION_ROLLBACK:
        modules_.transactions.finish(r.wire.transaction());
        release(now, r, true);
        answer(now, r.id, result_code::ok);
        break;
    default:
        keep_transaction(now, r);
        answer(now, r.id, result_code::ok);
        break;
    }
}

/// Marks the statement as finished; its transaction stays open and keeps the
/// connection.
void request_flow::keep_transaction(moment now, request& r)
{
    modules_.transactions.finish_statement(now, r.wire.transaction());
    r.connection = 0;
}

/// Closes the connection, so that the database rolls the transaction back.
void request_flow::abort_transaction(moment now, request& r)
{
    modules_.transactions.finish(r.wire.transaction());
    release(now, r, false);
}

void request_flow::confirm(moment now, request& r,
                           const proto::ExecuteReply& reply)
{
    r.state = request_state::confirming;
    note(r, "confirming", r.is_write() ? "write" : "read", result_code::ok);
    std::vector<std::string> others;
    for (const auto* server : view_->servers_of(r.route.database()))
    {
        if (server->name() != r.server)
        {
            others.push_back(server->name());
        }
    }
    const auto id = r.id;
    auto done = [this, id](moment at, write_confirmer::verdict verdict)
    { on_confirmed(at, id, verdict); };
    const auto* belief = modules_.primaries.primary(r.route.database());
    if (reply.outcome() == proto::DATABASE_DUPLICATE && belief != nullptr)
    {
        // The first entry may belong to an earlier term, which no server
        // confirms any more, so the primary's current log point is confirmed
        // instead.
        modules_.confirmer.confirm_current(
            now, r.route.database(), r.server, std::move(others),
            belief->term(), r.deadline, modules_.out, std::move(done));
        return;
    }
    modules_.confirmer.confirm(now, r.route.database(), others, reply.point(),
                               r.deadline, modules_.out, std::move(done));
}

void request_flow::on_confirmed(moment now, std::uint64_t id,
                                write_confirmer::verdict verdict)
{
    request* r = find(id);
    if (r == nullptr)
    {
        return;
    }
    if (verdict == write_confirmer::verdict::confirmed)
    {
        answer(now, id, result_code::ok);
        return;
    }
    const bool superseded = verdict == write_confirmer::verdict::superseded;
    if (superseded && !r->in_transaction())
    {
        modules_.primaries.report_failure(now, r->route.database(), r->server);
        retry(now, *r, lane_kind::primary);
        return;
    }
    answer(now, id,
           superseded ? result_code::superseded : result_code::unconfirmed);
}

void request_flow::drain()
{
    draining_ = true;
}

bool request_flow::idle() const
{
    return requests_.empty() && modules_.transactions.size() == 0;
}

/// Sends a statement of an open transaction without queueing, since the
/// transaction has a connection.
void request_flow::enqueue_in_transaction(moment now, request& r)
{
    const auto& id = r.wire.transaction();
    const auto found = modules_.transactions.find(id, r.user());
    if (found.code != result_code::ok)
    {
        answer(now, r.id, found.code);
        return;
    }
    if (!modules_.transactions.start_statement(id))
    {
        answer(now, r.id, result_code::statement_outstanding);
        return;
    }
    r.server = found.transaction->server;
    r.connection = found.transaction->connection;
    send(now, r);
}

} // namespace tanagerhoist

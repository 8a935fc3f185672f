// First part of request processing: validation, rate limit, queue.

#include "tanagerhoist/decision/authenticator.hpp"
#include "tanagerhoist/decision/request_flow.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

moment deadline_of(moment now, const proto::RouteSettings& route,
                   const proto::CallerRequest& wire)
{
    auto ms = route.deadline_ms();
    if (wire.deadline_ms() > 0)
    {
        ms = std::min<std::uint64_t>(ms, wire.deadline_ms());
    }
    return now + milliseconds(ms);
}

} // namespace

request_flow::request_flow(request_flow_options options,
                           request_flow_modules modules)
    : options_(options), modules_(modules)
{
}

void request_flow::use_settings(moment now, const settings_view& view)
{
    view_ = &view;
    for (auto it = callers_.begin(); it != callers_.end();)
    {
        if (still_valid(view, it->second))
        {
            ++it;
            continue;
        }
        proto::Action action;
        action.mutable_close_caller()->set_caller(it->first);
        modules_.out.add(std::move(action));
        it = callers_.erase(it);
    }
    pump(now);
}

result_code request_flow::check(moment now,
                                const proto::CallerArrived& arrived) const
{
    if (view_ == nullptr)
    {
        return result_code::settings_missing;
    }
    const auto* route = view_->route(arrived.request().route());
    if (route == nullptr)
    {
        return result_code::unknown_route;
    }
    if (!is_yes(route->open()) && arrived.principal().key_id().empty())
    {
        return result_code::key_missing;
    }
    if (!arrived.principal().key_id().empty() &&
        !still_valid(*view_, arrived.principal()))
    {
        return result_code::key_withdrawn;
    }
    if (route->kind() == "write" && arrived.request().request_id().empty())
    {
        return result_code::request_id_missing;
    }
    const auto step = arrived.request().step();
    const bool new_work =
        step == proto::TRANSACTION_NONE || step == proto::TRANSACTION_BEGIN;
    if (draining_ && new_work)
    {
        return result_code::draining;
    }
    if (!modules_.fencing.may_serve(now))
    {
        return result_code::isolated;
    }
    const auto* database = view_->database(route->database());
    if (new_work && (database == nullptr || is_yes(database->leaving())))
    {
        return result_code::database_leaving;
    }
    return result_code::ok;
}

request request_flow::make_request(moment now,
                                   const proto::CallerArrived& arrived)
{
    request r;
    r.id = next_id_++;
    r.call = arrived.call();
    r.caller = arrived.caller();
    r.principal = arrived.principal();
    r.wire = arrived.request();
    r.route = *view_->route(r.wire.route());
    if (const auto* w = view_->workspace(r.principal.workspace()))
    {
        r.weight = w->weight();
    }
    r.arrived = now;
    r.deadline = deadline_of(now, r.route, r.wire);
    read_token(r);
    const bool replica_may_serve =
        !r.is_write() && !r.confirm_read && !r.in_transaction();
    r.lane = replica_may_serve ? lane_kind::replica : lane_kind::primary;
    return r;
}

void request_flow::read_token(request& r) const
{
    const auto& seen = r.wire.token().seen();
    const auto it = seen.find(r.route.database());
    if (it != seen.end())
    {
        r.token = it->second;
    }
    r.has_token = !r.wire.token().session().empty() || r.wire.session().empty();
    r.confirm_read = !r.has_token && !r.is_write() && !r.in_transaction();
}

void request_flow::arrive(moment now, const proto::CallerArrived& arrived)
{
    const auto found = static_cast<result_code>(arrived.refused());
    const auto code = found == result_code::ok ? check(now, arrived) : found;
    if (code != result_code::ok)
    {
        answer_immediately(arrived, code);
        return;
    }
    if (!arrived.principal().key_id().empty())
    {
        callers_[arrived.caller()] = arrived.principal();
    }
    request made = make_request(now, arrived);
    const auto id = made.id;
    if (handle_repeated_request(now, made))
    {
        return;
    }
    const auto& r = requests_.emplace(id, std::move(made)).first->second;
    note(r, "arrived", "checked", result_code::ok);
    admit(now, id);
}

/// Answers a repeated write with the answer to the first one, now or when it is
/// available.
/// @return whether the request needs no processing of its own
bool request_flow::handle_repeated_request(moment now, const request& r)
{
    const bool inside =
        r.in_transaction() && r.wire.step() != proto::TRANSACTION_COMMIT;
    if (!r.is_write() || inside)
    {
        return false;
    }
    const auto found =
        modules_.registry.arrive(now, r.call, r.principal.workspace(), r.wire);
    switch (found.kind)
    {
    case arrival::first:
        return false;
    case arrival::attached:
        note(r, "attached", "same_request_in_flight", result_code::ok);
        return true;
    case arrival::answered:
        note(r, "answered", "same_request_answered", result_code::ok);
        send_answer({r.call}, proto::CallerReply(*found.answer));
        return true;
    case arrival::mismatch:
    case arrival::too_many_repeats:
        break;
    }
    proto::CallerArrived refused;
    refused.set_call(r.call);
    *refused.mutable_request() = r.wire;
    *refused.mutable_principal() = r.principal;
    answer_immediately(refused, found.kind == arrival::mismatch
                                    ? result_code::malformed_request
                                    : result_code::outcome_unknown);
    return true;
}

void request_flow::admit(moment now, std::uint64_t id)
{
    request& r = *find(id);
    const auto& workspace = r.principal.workspace();
    const bool unlimited = workspace.empty() ||
                           r.wire.step() == proto::TRANSACTION_ROLLBACK ||
                           r.wire.step() == proto::TRANSACTION_COMMIT;
    auto waiting = admitting_.find(workspace);
    if (!unlimited && waiting != admitting_.end() && !waiting->second.empty())
    {
        waiting->second.push_back(id); // preserves arrival order
        note(r, "waiting", "behind_earlier", result_code::ok);
        return;
    }
    const auto verdict =
        unlimited ? allowance::granted
                  : modules_.limits.spend(now, workspace, modules_.out);
    if (verdict == allowance::refused)
    {
        answer(now, id, result_code::over_rate);
        return;
    }
    if (verdict == allowance::wait)
    {
        admitting_[workspace].push_back(id);
        note(r, "waiting", "allowance_asked", result_code::ok);
        return;
    }
    charge(r, !unlimited);
    enqueue(now, r);
}

void request_flow::pump_admission(moment now)
{
    for (auto it = admitting_.begin(); it != admitting_.end();)
    {
        auto& [workspace, waiting] = *it;
        while (!waiting.empty())
        {
            const auto verdict =
                modules_.limits.spend(now, workspace, modules_.out);
            if (verdict == allowance::wait)
            {
                break;
            }
            const auto id = waiting.front();
            waiting.pop_front();
            if (verdict == allowance::refused)
            {
                answer(now, id, result_code::over_rate);
                continue;
            }
            request& r = *find(id);
            charge(r, true);
            enqueue(now, r);
        }
        it = waiting.empty() ? admitting_.erase(it) : std::next(it);
    }
}

/// Records whether the request was debited from its workspace's allowance, so
/// that it can be refunded.
void request_flow::charge(request& r, bool charged)
{
    r.charged = charged;
    if (charged)
    {
        note(r, "admitted", "allowance_debited", result_code::ok);
    }
}

void request_flow::enqueue(moment now, request& r)
{
    r.state = request_state::queued;
    if (r.continues_transaction())
    {
        enqueue_in_transaction(now, r);
        return;
    }
    queued entry;
    entry.id = r.id;
    entry.workspace = r.principal.workspace();
    entry.weight = r.weight;
    entry.emergency = is_yes(r.route.emergency());
    entry.enqueued = now;
    entry.deadline = r.deadline;
    if (r.is_begin() &&
        !modules_.transactions.may_begin(entry.workspace, primary_of(r)))
    {
        answer(now, r.id, result_code::queue_full);
        return;
    }
    lane& l = lane_of(r);
    const auto code = l.queue.push(now, entry);
    if (code != result_code::ok)
    {
        answer(now, r.id, code);
        return;
    }
    note(r, "queued", r.lane == lane_kind::primary ? "primary" : "replica",
         result_code::ok, std::to_string(l.queue.size()));
    nonempty_lanes_.insert(lane_key(r.route.database(), r.lane));
    pump_lanes(now);
}

void request_flow::caller_gone(moment now, std::uint64_t caller)
{
    callers_.erase(caller);
    end_transactions(now, modules_.transactions.caller_gone(caller));
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, r] : requests_)
    {
        const bool nothing_sent = r.state == request_state::admitting ||
                                  r.state == request_state::queued;
        if (r.caller == caller && nothing_sent && !r.maybe_ran)
        {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting)
    {
        answer(now, id, result_code::caller_gone);
    }
}

request* request_flow::find(std::uint64_t id)
{
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

request_flow::lane& request_flow::lane_of(const request& r)
{
    return lanes_
        .try_emplace(lane_key(r.route.database(), r.lane), options_.queue)
        .first->second;
}

} // namespace tanagerhoist

#include "tanagerhoist/decision/group_watch.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{

group_watch::group_watch(moment now, std::string database,
                         std::vector<std::string> servers, term_source& terms,
                         group_watch_options options, callbacks calls)
    : database_(std::move(database)),
      servers_(std::move(servers)),
      terms_(terms),
      options_(options),
      callbacks_(std::move(calls)),
      evidence_(servers_, options.evidence),
      last_input_(now)
{
    evidence_.restart(now);
}

void group_watch::set_watchers(std::vector<std::string> vms, unsigned rank)
{
    watchers_ = std::move(vms);
    rank_ = rank;
}

void group_watch::set_belief(moment now, const proto::PrimaryBelief& belief)
{
    belief_ = belief;
    ++epoch_;
    evidence_.restart(now);
    lost_since_.reset();
    next_probe_.clear();
    if (promotion_ && promotion_->term() < belief.term())
    {
        promotion_->abandon();
    }
}

void group_watch::discard_stale_evidence(moment now)
{
    // Evidence from before a pause of this process may be out of date.
    if (now - last_input_ > options_.max_input_gap)
    {
        ++epoch_;
        evidence_.restart(now);
        lost_since_.reset();
        next_probe_.clear();
        if (promotion_)
        {
            promotion_->abandon();
        }
    }
    last_input_ = now;
}

void group_watch::on_tick(moment now, outbox& out)
{
    discard_stale_evidence(now);
    if (promotion_)
    {
        promotion_->on_tick(now, out);
        if (promotion_->finished())
        {
            promotion_->close(out);
            promotion_.reset();
        }
    }
    const auto state = assess(now);
    send_due_probes(now, state, out);
    if (state != primary_state::healthy)
    {
        send_due_asks(now, out);
    }
    start_promotion_if_due(now, out);
}

primary_state group_watch::assess(moment now) const
{
    return evidence_.assess(now, belief_ ? &*belief_ : nullptr,
                            watchers_.size());
}

void group_watch::send_due_probes(moment now, primary_state state, outbox& out)
{
    for (const auto& server : servers_)
    {
        const bool often = state != primary_state::healthy ||
                           (belief_ && belief_->server() == server);
        auto& next = next_probe_[server];
        if (often)
        {
            next = std::min(next, now + options_.probe_interval);
        }
        if (now >= next)
        {
            next = now + (often ? options_.probe_interval
                                : options_.replica_interval);
            probe(now, server, out);
        }
    }
}

void group_watch::probe(moment, const std::string& server, outbox& out)
{
    proto::DatabaseCall call;
    call.mutable_status();
    calls_.call(out, server, std::move(call), options_.probe_timeout,
                [this, server, epoch = epoch_,
                 &out](moment now, const proto::DatabaseReply* reply, bool)
                {
                    const bool valid = reply != nullptr && reply->has_status();
                    on_probe(now, server, epoch,
                             valid ? &reply->status() : nullptr, out);
                });
}

void group_watch::on_probe(moment now, const std::string& server,
                           std::uint64_t epoch,
                           const proto::StatusReply* status, outbox& out)
{
    discard_stale_evidence(now);
    if (epoch != epoch_)
    {
        return;
    }
    if (status == nullptr)
    {
        evidence_.on_probe_failure(now, server);
    }
    else
    {
        evidence_.on_status(now, server, *status);
        report_newer_primary(now, server, *status);
    }
    start_promotion_if_due(now, out);
}

void group_watch::report_newer_primary(moment now, const std::string& server,
                                       const proto::StatusReply& status)
{
    const std::uint64_t term = status.last().term();
    if (!status.primary() || (belief_ && term <= belief_->term()))
    {
        return;
    }
    proto::PrimaryBelief claim;
    claim.set_database(database_);
    claim.set_server(server);
    claim.set_term(term);
    callbacks_.found(now, claim);
}

void group_watch::send_due_asks(moment now, outbox& out)
{
    if (now < next_ask_)
    {
        return;
    }
    next_ask_ = now + options_.ask_interval;
    for (unsigned rank = 0; rank < watchers_.size(); ++rank)
    {
        if (rank != rank_)
        {
            callbacks_.ask(now, watchers_[rank], out);
        }
    }
}

void group_watch::on_answer(moment now, const std::string& vm, bool reachable,
                            outbox& out)
{
    discard_stale_evidence(now);
    if (std::find(watchers_.begin(), watchers_.end(), vm) != watchers_.end())
    {
        evidence_.on_answer(now, vm, reachable);
        start_promotion_if_due(now, out);
    }
}

void group_watch::probe_all_now(moment now)
{
    for (const auto& server : servers_)
    {
        auto& next = next_probe_[server];
        next = std::min(next, now);
    }
}

void group_watch::fill_answer(moment now, proto::SuspectAnswer& answer) const
{
    if (!belief_)
    {
        return;
    }
    const std::string& server = belief_->server();
    const bool reachable = evidence_.reachable(now, server);
    answer.set_known(reachable || evidence_.unreachable(now, server));
    answer.set_reachable(reachable);
    answer.set_replicating(evidence_.replicating(now, server));
}

void group_watch::start_promotion_if_due(moment now, outbox& out)
{
    if (assess(now) != primary_state::lost)
    {
        lost_since_.reset();
        return;
    }
    if (!lost_since_)
    {
        lost_since_ = now;
        note("primary_lost", belief_ ? belief_->server() : "", out);
    }
    const bool rank_reached = now - *lost_since_ >= options_.rank_delay * rank_;
    if (rank_reached && !promotion_ && terms_.ready())
    {
        start_promotion(now, out);
    }
}

void group_watch::start_promotion(moment now, outbox& out)
{
    promotion_task task;
    task.database = database_;
    task.servers = servers_;
    task.suspect = belief_ ? belief_->server() : "";
    task.seen_term =
        std::max(evidence_.highest_term(), belief_ ? belief_->term() : 0);
    task.rank = rank_;
    promotion_ = std::make_unique<promotion>(
        std::move(task), options_.promotion, terms_, callbacks_.won);
    promotion_->start(now, out);
    note("promotion_started", std::to_string(promotion_->term()), out);
}

void group_watch::note(const char* kind, std::string detail, outbox& out) const
{
    proto::Event event;
    event.set_kind(kind);
    event.set_database(database_);
    event.set_detail(std::move(detail));
    out.note(std::move(event));
}

void group_watch::close(outbox& out)
{
    calls_.drop(out);
    if (promotion_)
    {
        promotion_->close(out);
        promotion_.reset();
    }
}

} // namespace tanagerhoist

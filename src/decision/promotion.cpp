#include "tanagerhoist/decision/promotion.hpp"

#include "tanagerhoist/core/log_point.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace tanagerhoist
{

promotion::promotion(promotion_task task, promotion_options options,
                     term_source& terms, won_handler won)
    : task_(std::move(task)),
      options_(options),
      terms_(terms),
      won_(std::move(won))
{
}

bool promotion::finished() const
{
    return state_ == state::won || state_ == state::abandoned;
}

bool promotion::abandon_if_paused(moment now)
{
    const bool late = now - last_input_ > options_.max_input_gap;
    last_input_ = now;
    if (late)
    {
        abandon();
    }
    return late;
}

void promotion::start(moment now, outbox& out)
{
    last_input_ = now;
    begin_round(now, out);
}

void promotion::begin_round(moment now, outbox& out)
{
    ++round_;
    term_ = terms_.next(task_.seen_term);
    state_ = state::sealing;
    round_began_ = now;
    promote_attempts_ = 0;
    servers_.clear();
    for (const auto& server : task_.servers)
    {
        servers_[server] = {};
    }
    for (const auto& server : task_.servers)
    {
        seal(server, out);
    }
}

void promotion::seal(const std::string& server, outbox& out)
{
    servers_[server].asked = true;
    proto::DatabaseCall call;
    call.mutable_seal()->set_term(term_);
    calls_.call(out, server, std::move(call), options_.call_timeout,
                [this, server, term = term_,
                 &out](moment now, const proto::DatabaseReply* reply, bool)
                {
                    const bool valid = reply != nullptr && reply->has_seal();
                    on_seal(now, server, term, valid ? &reply->seal() : nullptr,
                            out);
                });
}

void promotion::on_seal(moment now, const std::string& server,
                        std::uint64_t term, const proto::SealReply* reply,
                        outbox& out)
{
    if (finished() || abandon_if_paused(now) || term != term_ ||
        state_ != state::sealing)
    {
        return;
    }
    auto& entry = servers_[server];
    entry.asked = false;
    if (reply != nullptr && reply->sealed_term() > term_)
    {
        back_off(now, reply->sealed_term());
        return;
    }
    if (reply == nullptr || !reply->accepted())
    {
        entry.resend_at = now + options_.resend_delay;
        return;
    }
    entry.sealed = true;
    entry.last = reply->last();
    choose(now, out);
}

const std::string* promotion::best_candidate(bool with_suspect) const
{
    const std::string* found = nullptr;
    proto::LogPoint last;
    std::size_t sealed = 0;
    for (const auto& [server, entry] : servers_)
    {
        const bool suspect = server == task_.suspect;
        if (!entry.sealed || (suspect && !with_suspect))
        {
            continue;
        }
        ++sealed;
        const bool higher = found == nullptr || last < entry.last;
        const bool replaces_suspect = found != nullptr &&
                                      *found == task_.suspect &&
                                      covers(entry.last, last);
        if (higher || replaces_suspect)
        {
            found = &server;
            last = entry.last;
        }
    }
    return sealed >= task_.servers.size() / 2 + 1 ? found : nullptr;
}

void promotion::choose(moment now, outbox& out)
{
    // The suspect may be alive with a longer log whose tail cannot be
    // confirmed. A majority without it holds all confirmed entries and can
    // serve, so prefer one.
    const bool excluding_suspect =
        now - round_began_ < options_.suspect_exclusion;
    const std::string* server = best_candidate(false);
    if (server == nullptr && !excluding_suspect)
    {
        server = best_candidate(true);
    }
    if (server == nullptr)
    {
        return;
    }
    chosen_ = *server;
    state_ = state::promoting;
    promote(out);
}

void promotion::promote(outbox& out)
{
    ++promote_attempts_;
    proto::DatabaseCall call;
    call.mutable_promote()->set_term(term_);
    calls_.call(out, chosen_, std::move(call), options_.call_timeout,
                [this, term = term_,
                 &out](moment now, const proto::DatabaseReply* reply, bool)
                {
                    const bool valid = reply != nullptr && reply->has_promote();
                    on_promote(now, term, valid ? &reply->promote() : nullptr,
                               out);
                });
}

void promotion::on_promote(moment now, std::uint64_t term,
                           const proto::PromoteReply* reply, outbox& out)
{
    if (finished() || abandon_if_paused(now) || term != term_ ||
        state_ != state::promoting)
    {
        return;
    }
    if (reply == nullptr && promote_attempts_ < options_.max_promote_attempts)
    {
        promote(
            out); // to the same server, which may have accepted the first call
        return;
    }
    if (reply == nullptr || !reply->accepted())
    {
        back_off(now, reply == nullptr ? term_ : reply->sealed_term());
        return;
    }
    state_ = state::won;
    proto::PrimaryBelief belief;
    belief.set_database(task_.database);
    belief.set_server(chosen_);
    belief.set_term(term_);
    won_(now, belief, out);
}

void promotion::back_off(moment now, std::uint64_t seen)
{
    task_.seen_term = std::max(task_.seen_term, seen);
    state_ = state::backing_off;
    const auto max_jitter =
        static_cast<std::uint64_t>(options_.max_jitter.count());
    const std::uint64_t number = terms_.number();
    const std::uint64_t jitter =
        max_jitter == 0 ? 0
                        : XXH64(&number, sizeof number, round_) % max_jitter;
    resume_ = now + options_.rank_retry_delay * task_.rank +
              milliseconds(static_cast<milliseconds::rep>(jitter));
}

void promotion::on_tick(moment now, outbox& out)
{
    if (finished() || abandon_if_paused(now))
    {
        return;
    }
    if (state_ == state::backing_off && now >= resume_)
    {
        begin_round(now, out);
        return;
    }
    if (state_ != state::sealing)
    {
        return;
    }
    for (const auto& server : task_.servers)
    {
        const auto& entry = servers_[server];
        if (!entry.sealed && !entry.asked && now >= entry.resend_at)
        {
            seal(server, out);
        }
    }
    choose(now, out);
}

} // namespace tanagerhoist

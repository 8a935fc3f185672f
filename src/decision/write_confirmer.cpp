#include "tanagerhoist/decision/write_confirmer.hpp"

#include "tanagerhoist/core/log_point.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{

write_confirmer::write_confirmer(write_confirmer_options options)
    : options_(options)
{
}

void write_confirmer::confirm(moment now, const std::string& database,
                              const std::vector<std::string>& others,
                              const proto::LogPoint& point, moment deadline,
                              outbox& out, handler done)
{
    const std::uint64_t id = next_id_++;
    auto& entry = pending_[id];
    entry.database = database;
    entry.point = point;
    entry.deadline = deadline;
    entry.done = std::move(done);
    for (const auto& server : others)
    {
        entry.others[server] = {};
    }
    if (decide(now, id))
    {
        return;
    }
    for (const auto& server : others)
    {
        ask(now, id, server, out);
    }
}

void write_confirmer::confirm_current(moment now, const std::string& database,
                                      const std::string& primary,
                                      std::vector<std::string> others,
                                      std::uint64_t term, moment deadline,
                                      outbox& out, handler done)
{
    const auto left = std::max(deadline - now, microseconds::zero());
    proto::DatabaseCall call;
    call.mutable_status();
    out.call_database(primary, 0, std::move(call), milliseconds(to_ms(left)),
                      [this, database, others = std::move(others), term,
                       deadline, &out, done = std::move(done)](
                          moment at, const proto::DatabaseReply* reply, bool)
                      {
                          if (reply == nullptr || !reply->has_status())
                          {
                              done(at, verdict::unconfirmed);
                              return;
                          }
                          const auto& status = reply->status();
                          if (!status.primary() || status.sealed_term() != term)
                          {
                              done(at, verdict::superseded);
                              return;
                          }
                          confirm(at, database, others, status.last(), deadline,
                                  out, done);
                      });
}

void write_confirmer::ask(moment now, std::uint64_t id,
                          const std::string& server, outbox& out)
{
    auto& entry = pending_.at(id);
    auto& other = entry.others[server];
    other.asked = true;
    other.asked_at = now;
    const auto left = std::max(entry.deadline - now, microseconds::zero());
    const auto wait = std::min<microseconds>(options_.max_server_wait, left);
    proto::DatabaseCall call;
    *call.mutable_status()->mutable_await() = entry.point;
    call.mutable_status()->set_wait_ms(to_ms(wait));
    const auto timeout = milliseconds(to_ms(wait)) + options_.call_margin;
    out.call_database(
        server, 0, std::move(call), timeout,
        [this, id, server, &out](moment at, const proto::DatabaseReply* reply,
                                 bool)
        {
            const bool valid = reply != nullptr && reply->has_status();
            on_reply(at, id, server, valid ? &reply->status() : nullptr, out);
        });
}

void write_confirmer::on_reply(moment now, std::uint64_t id,
                               const std::string& server,
                               const proto::StatusReply* reply, outbox& out)
{
    const auto found = pending_.find(id);
    if (found == pending_.end())
    {
        return;
    }
    auto& entry = found->second;
    auto& other = entry.others[server];
    other.asked = false;
    if (reply == nullptr)
    {
        other.retry = now + options_.retry_pause;
        return;
    }
    if (reply->sealed_term() > entry.point.term())
    {
        other.last = answer::refuses;
    }
    else if (reply->holds())
    {
        other.last = answer::holds;
    }
    if (decide(now, id) || other.last != answer::none)
    {
        return;
    }
    // A server that answered before the wait was over is queried again only
    // after a delay, to avoid a busy loop.
    if (now - other.asked_at >= options_.max_server_wait / 2)
    {
        ask(now, id, server, out);
        return;
    }
    other.retry = now + options_.retry_pause;
}

bool write_confirmer::decide(moment now, std::uint64_t id)
{
    const auto& entry = pending_.at(id);
    const std::size_t group = entry.others.size() + 1;
    // For a majority, not counting the primary.
    const std::size_t needed = group / 2;
    std::size_t holding = 0;
    std::size_t refusing = 0;
    for (const auto& [server, other] : entry.others)
    {
        holding += other.last == answer::holds ? 1 : 0;
        refusing += other.last == answer::refuses ? 1 : 0;
    }
    if (holding >= needed)
    {
        finish(now, id, verdict::confirmed);
        return true;
    }
    if (entry.others.size() - refusing < needed)
    {
        finish(now, id, verdict::superseded);
        return true;
    }
    return false;
}

void write_confirmer::finish(moment now, std::uint64_t id, verdict value)
{
    auto node = pending_.extract(id);
    node.mapped().done(now, value);
}

void write_confirmer::on_tick(moment now, outbox& out)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, entry] : pending_)
    {
        ids.push_back(id);
    }
    for (const auto id : ids)
    {
        auto& entry = pending_.at(id);
        if (now >= entry.deadline)
        {
            finish(now, id, verdict::unconfirmed);
            continue;
        }
        for (const auto& [server, other] : entry.others)
        {
            if (other.last == answer::none && !other.asked &&
                now >= other.retry)
            {
                ask(now, id, server, out);
            }
        }
    }
}

} // namespace tanagerhoist

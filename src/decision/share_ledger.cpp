#include "tanagerhoist/decision/share_ledger.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{

share_ledger::share_ledger(const identity& self, const membership& members,
                           std::string resource, share_ledger_options options)
    : self_(self),
      members_(members),
      resource_(std::move(resource)),
      options_(options)
{
}

void share_ledger::set_total_parts(std::uint64_t total_parts)
{
    row_evaluated_ = row_evaluated_ && total_parts == total_parts_;
    total_parts_ = total_parts;
}

bool share_ledger::idle(std::uint64_t epoch) const
{
    const bool settled = has_grant_ && have_row_ && !waiting_ && row_evaluated_;
    return self_.number == 0 || expelled_ || total_parts_ == 0 ||
           (settled && epoch == epoch_);
}

std::uint64_t share_ledger::take_unspent_parts()
{
    return std::exchange(unspent_parts_, 0);
}

std::uint64_t share_ledger::take_late_tokens()
{
    return std::exchange(late_tokens_, 0);
}

void share_ledger::reset()
{
    row_evaluated_ = false;
    refresh_ = options_.refresh_interval;
    parts_ = 0;
    granted_ = 0;
    unspent_parts_ = 0;
    late_tokens_ = 0;
    has_grant_ = false;
    expelled_ = false;
    waiting_ = false;
    have_row_ = false;
    epoch_ = 0;
    version_ = 0;
    channels_.clear();
}

bool share_ledger::usable(std::uint64_t epoch) const
{
    return !expelled_ && epoch_ == epoch;
}

bool share_ledger::may_give(std::uint64_t epoch,
                            const proto::Incarnation& to) const
{
    const auto found = channels_.find(to.number());
    const bool open =
        found == channels_.end() ||
        (!found->second.closed && found->second.settling_version == 0);
    return usable(epoch) && has_grant_ && open;
}

proto::SliceGive share_ledger::give(const proto::Incarnation& to,
                                    proto::Slice given, std::uint64_t ask)
{
    auto& channel = channels_[to.number()];
    channel.vm = to.vm();
    row_evaluated_ = false;
    parts_ -= given.parts();
    channel.given_parts += given.parts();
    channel.given_tokens += given.tokens();
    proto::SliceGive message;
    message.set_resource(resource_);
    message.set_ask(ask);
    message.set_sequence(++channel.sequence);
    message.mutable_total()->set_parts(channel.given_parts);
    message.mutable_total()->set_tokens(channel.given_tokens);
    *message.mutable_given() = std::move(given);
    return message;
}

proto::Slice share_ledger::receive(const proto::Incarnation& from,
                                   const proto::SliceGive& message)
{
    auto& channel = channels_[from.number()];
    channel.vm = from.vm();
    row_evaluated_ = false;
    if (message.total().parts() > channel.announced_parts)
    {
        channel.announced_parts = message.total().parts();
        channel.announced_tokens = message.total().tokens();
    }
    if (!is_giver_valid(from.number(), channel))
    {
        next_read_ = moment{};
        return {};
    }
    return credit(channel);
}

bool share_ledger::is_giver_valid(std::uint64_t number,
                                  const channel& from) const
{
    const auto& grants = row_.grant();
    const bool holder = std::any_of(grants.begin(), grants.end(),
                                    [&](const proto::ShareGrant& each)
                                    { return each.number() == number; });
    // The holdings of a giver without a grant may have been reclaimed already.
    return !expelled_ && !from.closed && from.settling_version == 0 &&
           (!has_grant_ || holder);
}

proto::Slice share_ledger::credit(channel& from)
{
    proto::Slice credited;
    credited.set_parts(from.announced_parts - from.received_parts);
    credited.set_tokens(from.announced_tokens - from.received_tokens);
    from.received_parts = from.announced_parts;
    from.received_tokens = from.announced_tokens;
    parts_ += credited.parts();
    return credited;
}

bool share_ledger::has_received() const
{
    return std::any_of(channels_.begin(), channels_.end(),
                       [](const auto& each)
                       { return each.second.received_parts != 0; });
}

void share_ledger::on_tick(moment now, std::uint64_t epoch, bool may_access_row,
                           outbox& out)
{
    if (self_.number == 0 || expelled_ || total_parts_ == 0)
    {
        return;
    }
    if (!has_grant_ && epoch != epoch_ && has_received())
    {
        // Without an own grant, the row can't show whether what was received
        // has been reclaimed meanwhile.
        expelled_ = true;
        return;
    }
    if (waiting_ || !may_access_row)
    {
        return;
    }
    if (!have_row_ || now >= next_read_)
    {
        read(out);
        return;
    }
    if (now < next_write_ ||
        (row_evaluated_ && epoch == epoch_ && now < next_evaluation_))
    {
        return;
    }
    row_evaluated_ = true;
    next_evaluation_ = now + (is_stable(now) ? options_.refresh_interval
                                             : options_.retry_interval);
    proto::ShareRow next = next_row(now);
    if (epoch != epoch_ || next.SerializeAsString() != row_.SerializeAsString())
    {
        write(now, std::move(next), epoch, out);
    }
}

void share_ledger::read(outbox& out)
{
    proto::PlatformCall call;
    call.mutable_table_read()->set_row("share/" + resource_);
    waiting_ = true;
    out.call_platform(std::move(call), options_.call_timeout,
                      [this, number = self_.number](
                          moment now, const proto::PlatformReply* reply)
                      {
                          waiting_ = false;
                          next_read_ = now + options_.retry_interval;
                          proto::ShareRow row;
                          if (reply == nullptr || number != self_.number ||
                              !row.ParseFromString(reply->value()))
                          {
                              return;
                          }
                          const bool found =
                              reply->outcome() == proto::PLATFORM_OK;
                          observe(now, found ? reply->version() : 0, row);
                      });
}

void share_ledger::write(moment now, proto::ShareRow next, std::uint64_t epoch,
                         outbox& out)
{
    proto::PlatformCall call;
    auto& body = *call.mutable_table_write();
    body.set_row("share/" + resource_);
    body.set_expected_version(version_);
    body.set_value(next.SerializeAsString());
    const std::uint64_t before =
        is_unused_row(row_) ? total_parts_ : row_.free_tokens();
    const std::uint64_t unspent =
        is_unused_row(next) ? 0 : before - next.free_tokens();
    waiting_ = true;
    next_write_ = now + options_.retry_interval;
    out.call_platform(
        std::move(call), options_.call_timeout,
        [this, next = std::move(next), epoch, unspent,
         number = self_.number](moment at, const proto::PlatformReply* reply)
        {
            waiting_ = false;
            have_row_ = false; // read again, whatever the outcome of the write
            if (reply == nullptr || number != self_.number ||
                reply->outcome() != proto::PLATFORM_OK)
            {
                return;
            }
            // If the reply is lost, these tokens are lost too, which errs on
            // the safe side.
            unspent_parts_ += unspent;
            observe(at, reply->version(), next);
            epoch_ = std::max(epoch_, epoch);
        });
}

} // namespace tanagerhoist

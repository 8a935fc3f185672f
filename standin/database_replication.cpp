/// Replication between the servers of a group.
#include "standin/database_server.hpp"
#include "tanagerhoist/core/log_point.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist::standin
{

namespace
{

/// Maximum number of log entries per message.
constexpr std::uint64_t max_entries_per_message = 512;

} // namespace

std::optional<proto::standin::ReplicateMessage>
database_server::next_message_for(const std::string& replica, moment now)
{
    const auto found = links_.find(replica);
    if (!primary_ || found == links_.end())
    {
        return std::nullopt;
    }
    auto& link = found->second;
    const auto end =
        std::min(log_.size() + 1, link.next + max_entries_per_message);
    const bool due = !link.sent || now - *link.sent >= heartbeat_interval;
    if (link.next == end && !due)
    {
        return std::nullopt;
    }
    proto::standin::ReplicateMessage message;
    message.set_from(name_);
    message.set_term(sealed_term_);
    message.set_sequence(++link.sequence);
    message.set_sent_us(to_us(now));
    *message.mutable_previous() = log_.point_at(link.next - 1);
    *message.mutable_last() = log_.last();
    for (; link.next != end; ++link.next)
    {
        *message.add_entry() = log_.at(link.next);
    }
    link.sent = now;
    return message;
}

proto::standin::ReplicateAck
database_server::receive(moment now,
                         const proto::standin::ReplicateMessage& message,
                         milliseconds lag)
{
    adopt_term(now, message.term());
    proto::standin::ReplicateAck ack;
    ack.set_from(name_);
    ack.set_sent_us(message.sent_us());
    ack.set_sealed_term(sealed_term_);
    ack.set_accepted(message.term() == sealed_term_ && !primary_);
    if (!ack.accepted())
    {
        return ack;
    }
    last_primary_contact_ = now;
    inbox_.push_back({now + lag, now, message});
    advance(now);
    ack.set_mismatch_sequence(mismatch_sequence_);
    ack.set_mismatch_position(mismatch_position_);
    return ack;
}

void database_server::acknowledged(moment now,
                                   const proto::standin::ReplicateAck& ack)
{
    adopt_term(now, ack.sealed_term());
    const auto found = links_.find(ack.from());
    if (!primary_ || found == links_.end() || !ack.accepted() ||
        ack.sealed_term() != sealed_term_)
    {
        return;
    }
    auto& link = found->second;
    link.last_ack_at = std::max(link.last_ack_at, now);
    link.last_accepted_sent_at =
        std::max(link.last_accepted_sent_at, moment_from(ack.sent_us()));
    if (ack.mismatch_sequence() > link.resend_after_sequence &&
        ack.mismatch_sequence() <= link.sequence)
    {
        link.next = std::min(link.next, ack.mismatch_position() + 1);
        link.resend_after_sequence = link.sequence;
    }
}

void database_server::advance(moment now)
{
    while (!inbox_.empty() && inbox_.front().due <= now)
    {
        const auto delayed = std::move(inbox_.front());
        inbox_.pop_front();
        // The server may have been sealed since the message arrived.
        if (delayed.message.term() == sealed_term_)
        {
            apply(delayed.sent, delayed.message);
        }
    }
}

void database_server::apply(moment sent,
                            const proto::standin::ReplicateMessage& message)
{
    if (!log_.holds(message.previous()))
    {
        record_mismatch(message);
        return;
    }
    mismatch_sequence_ = 0;
    for (const auto& entry : message.entry())
    {
        apply_entry(entry);
    }
    const auto end = log_.last();
    if (end.term() == message.last().term() &&
        end.position() == message.last().position())
    {
        in_sync_at_ = std::max(in_sync_at_, sent);
    }
}

void database_server::apply_entry(const proto::standin::LogEntry& entry)
{
    if (log_.holds(entry.point()))
    {
        return;
    }
    log_.truncate(entry.point().position() - 1);
    log_.append(entry);
}

void database_server::record_mismatch(
    const proto::standin::ReplicateMessage& message)
{
    const auto previous = message.previous().position();
    mismatch_sequence_ = message.sequence();
    mismatch_position_ =
        previous > log_.size()
            ? log_.size()
            : log_.first_position_of_term(log_.point_at(previous).term()) - 1;
}

} // namespace tanagerhoist::standin

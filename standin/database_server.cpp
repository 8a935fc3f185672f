#include "standin/database_server.hpp"

#include "tanagerhoist/core/log_point.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist::standin
{

database_server::database_server(std::string name,
                                 std::vector<std::string> group)
    : name_(std::move(name)), group_(std::move(group))
{
}

proto::DatabaseReply database_server::handle(moment now,
                                             std::uint64_t connection,
                                             const proto::DatabaseCall& call)
{
    advance(now);
    proto::DatabaseReply reply;
    switch (call.call_case())
    {
    case proto::DatabaseCall::kExecute:
        *reply.mutable_execute() = execute(now, connection, call.execute());
        break;
    case proto::DatabaseCall::kStatus:
        *reply.mutable_status() = status(now, call.status());
        break;
    case proto::DatabaseCall::kSeal:
        *reply.mutable_seal() = seal(now, call.seal());
        break;
    case proto::DatabaseCall::kPromote:
        *reply.mutable_promote() = promote(now, call.promote());
        break;
    case proto::DatabaseCall::CALL_NOT_SET:
        break;
    }
    return reply;
}

void database_server::connection_closed(std::uint64_t connection)
{
    transactions_.erase(connection);
}

microseconds database_server::age(moment now) const
{
    return now - (primary_ ? majority_contact_time(
                                 now, &replica_link::last_accepted_sent_at)
                           : in_sync_at_);
}

proto::StatusReply
database_server::status(moment now, const proto::StatusRequest& request) const
{
    proto::StatusReply reply;
    *reply.mutable_last() = log_.last();
    reply.set_sealed_term(sealed_term_);
    reply.set_primary(primary_);
    reply.set_age_ms(to_ms(age(now)));
    reply.set_holds(log_.holds(request.await()));
    if (primary_)
    {
        reply.set_replicas_silent_ms(to_ms(
            now - majority_contact_time(now, &replica_link::last_ack_at)));
    }
    else
    {
        reply.set_primary_silent_ms(to_ms(now - last_primary_contact_));
    }
    return reply;
}

proto::SealReply database_server::seal(moment now,
                                       const proto::SealRequest& request)
{
    proto::SealReply reply;
    reply.set_accepted(request.term() >= sealed_term_);
    adopt_term(now, request.term());
    reply.set_sealed_term(sealed_term_);
    *reply.mutable_last() = log_.last();
    return reply;
}

proto::PromoteReply
database_server::promote(moment now, const proto::PromoteRequest& request)
{
    const auto term = request.term();
    const bool already_promoted = promoted_term_ == term;
    // Entries of this term that this server did not write prove that another
    // server was promoted in it.
    const bool other_primary_exists =
        log_.last().term() == term && !already_promoted;
    proto::PromoteReply reply;
    reply.set_accepted(term != 0 && term == sealed_term_ &&
                       !other_primary_exists);
    reply.set_sealed_term(sealed_term_);
    if (!reply.accepted())
    {
        return reply;
    }
    if (!already_promoted)
    {
        proto::standin::LogEntry first;
        *first.mutable_point() = make_point(term, log_.size() + 1);
        log_.append(std::move(first));
        promoted_term_ = term;
    }
    *reply.mutable_first() = log_.point_at(log_.first_position_of_term(term));
    if (!primary_)
    {
        primary_ = true;
        inbox_.clear();
        for (const auto& server : group_)
        {
            auto& link = links_[server];
            link.next = log_.size();
            link.last_ack_at = link.last_accepted_sent_at = now;
        }
        links_.erase(name_);
    }
    return reply;
}

void database_server::restart(moment now)
{
    step_down(now);
    inbox_.clear();
    mismatch_sequence_ = 0;
    last_primary_contact_ = now;
}

void database_server::adopt_term(moment now, std::uint64_t term)
{
    if (term > sealed_term_)
    {
        sealed_term_ = term;
        mismatch_sequence_ = 0;
        step_down(now);
    }
}

void database_server::step_down(moment now)
{
    if (primary_)
    {
        // Continues from the age as primary; from here on it only grows.
        in_sync_at_ = std::max(in_sync_at_, now - age(now));
    }
    primary_ = false;
    links_.clear();
    transactions_.clear();
}

moment database_server::majority_contact_time(moment now,
                                              moment replica_link::*when) const
{
    std::vector<moment> times{now};
    for (const auto& [replica, link] : links_)
    {
        times.push_back(link.*when);
    }
    std::sort(times.rbegin(), times.rend());
    return times[group_.size() / 2];
}

} // namespace tanagerhoist::standin

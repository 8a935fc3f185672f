#include "tanagerhoist/session/workspace_limits.hpp"

// Operations that a VM without a coordinator hands to a deputy.
namespace tanagerhoist
{

bool workspace_limits::may_hand_over(moment now) const
{
    return members_ > small_fleet && is_coordinator_lost(now) &&
           now < last_in_term_ + longest_standalone;
}

bool workspace_limits::is_handover_due(moment now, bool holds) const
{
    return may_hand_over(now) && deputy_.is_due(now, holds);
}

std::vector<proto::HandedOperations>
workspace_limits::hand_over(moment now, std::uint64_t sequence,
                            const held_statements& held)
{
    const bool answers = deputy_.takes_operations();
    deputy_.sent(now, sequence);
    std::vector<proto::HandedOperations> handed;
    for (auto& [name, share] : shares_)
    {
        const auto waiting = held.find(name);
        const auto missing = waiting == held.end() ? 0 : waiting->second;
        const auto millionths =
            answers ? share.standalone.hand_over(now, last_message_) : 0;
        if (millionths == 0 && missing == 0)
        {
            continue;
        }
        proto::HandedOperations entry;
        entry.set_workspace(name);
        entry.set_millionths(millionths);
        entry.set_missing(missing);
        handed.push_back(std::move(entry));
    }
    return handed;
}

bool workspace_limits::use_handover_reply(const proto::HandoverReply& reply)
{
    if (!deputy_.use_answer(reply.sequence()))
    {
        return false;
    }
    for (const auto& grant : reply.grants())
    {
        const auto it = shares_.find(grant.workspace());
        if (it != shares_.end())
        {
            it->second.stock += grant.operations();
        }
    }
    return true;
}

} // namespace tanagerhoist

#include "tanagerhoist/fleet/deputy_handover.hpp"

#include <utility>

namespace tanagerhoist
{

void deputy_handover::use_deputies(const proto::FleetView& view)
{
    deputies_.assign(view.deputies().begin(), view.deputies().end());
    limits_.use_deputies(deputies_.size());
}

bool deputy_handover::is_due(moment now, bool holds) const
{
    return !deputies_.empty() && limits_.is_handover_due(now, holds);
}

void deputy_handover::hand_over(moment now, proto::OperationHandover message,
                                const workspace_limits::held_statements& held,
                                const sender& send)
{
    std::uint64_t millionths = 0;
    for (auto& operations : limits_.hand_over(now, message.sequence(), held))
    {
        millionths += operations.millionths();
        *message.add_operations() = std::move(operations);
    }
    const auto& to = deputies_.at(limits_.deputy().index());
    if (!send(to, std::move(message)))
    {
        note_unsent(millionths);
    }
}

void deputy_handover::note_unsent(const proto::HandoverReply& reply)
{
    std::uint64_t operations = 0;
    for (const auto& grant : reply.grants())
    {
        operations += grant.operations();
    }
    note_unsent(operations * token_unit);
}

void deputy_handover::note_unsent(std::uint64_t millionths)
{
    ++unsent_messages_;
    unsent_millionths_ += millionths;
}

std::string deputy_handover::answering_deputy() const
{
    const auto& link = limits_.deputy();
    return link.is_answering() && link.index() < deputies_.size()
               ? deputies_[link.index()].vm()
               : std::string();
}

} // namespace tanagerhoist

#include "tanagerhoist/fleet/promotion_history.hpp"

#include <algorithm>
#include <optional>

namespace tanagerhoist
{

promotion_history::promotion_history(const proto::GroupLead& lead)
{
    // From the latest back: each goes on from the term in which its base is.
    // Those between are of logs that the primary's does not go on from.
    std::optional<std::uint64_t> term;
    const auto& told = lead.promotions();
    for (auto entry = told.rbegin(); entry != told.rend(); ++entry)
    {
        if (term && entry->term() != *term)
        {
            continue;
        }
        known_.push_back(
            {entry->term(), {entry->base_term(), entry->base_number()}});
        term = entry->base_term();
    }
    // A row that an earlier version has written names the last one only.
    const bool has_base =
        lead.base_term() != 0 && lead.base_term() < lead.term();
    if (lead.promotions().empty() && has_base)
    {
        known_.push_back({lead.term(), {lead.base_term(), lead.base_number()}});
    }
}

bool promotion_history::has_diverged(const log_position& end) const
{
    return std::any_of(known_.begin(), known_.end(),
                       [&end](const promotion& later)
                       { return end.term < later.term && later.base < end; });
}

void promotion_history::add(proto::GroupLead& lead, std::uint64_t term,
                            const log_position& base)
{
    auto& kept = *lead.mutable_promotions();
    const bool known =
        std::any_of(kept.begin(), kept.end(),
                    [term](const auto& entry) { return entry.term() == term; });
    if (known || base.term == 0 || base.term >= term)
    {
        return;
    }
    if (kept.size() == most)
    {
        kept.DeleteSubrange(0, 1);
    }
    auto& entry = *kept.Add();
    entry.set_term(term);
    entry.set_base_term(base.term);
    entry.set_base_number(base.number);
}

} // namespace tanagerhoist

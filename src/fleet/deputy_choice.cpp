#include "tanagerhoist/fleet/deputy_choice.hpp"

#include "tanagerhoist/session/workspace_limits.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr std::size_t deputy_count = 3;

} // namespace

std::vector<proto::FleetDeputy>
choose_deputies(const fleet_members& members, const std::string& coordinator,
                const std::function<bool(const std::string& vm)>& is_reporting)
{
    std::vector<proto::FleetDeputy> chosen;
    if (members.rows.size() <= small_fleet)
    {
        return chosen;
    }
    std::vector<const proto::MemberRow*> taken;
    const auto own = members.rows.find(coordinator);
    if (own != members.rows.end())
    {
        taken.push_back(&own->second.row);
    }
    while (chosen.size() < deputy_count)
    {
        const proto::MemberRow* best = nullptr;
        std::pair<bool, std::uint64_t> best_rank;
        for (const auto& [vm, member] : members.rows)
        {
            const auto& row = member.row;
            const bool used =
                std::find(taken.begin(), taken.end(), &row) != taken.end();
            if (used || vm == coordinator || !is_reporting(vm))
            {
                continue;
            }
            const bool elsewhere = std::none_of(
                taken.begin(), taken.end(),
                [&row](const auto* other)
                { return other->data_centre() == row.data_centre(); });
            const auto rank = std::pair(elsewhere, row.cpu_percent());
            if (best == nullptr || rank > best_rank)
            {
                best = &row;
                best_rank = rank;
            }
        }
        if (best == nullptr)
        {
            break;
        }
        taken.push_back(best);
        proto::FleetDeputy deputy;
        deputy.set_vm(best->vm());
        deputy.set_address(best->address());
        deputy.set_peer_port(best->peer_port());
        chosen.push_back(std::move(deputy));
    }
    return chosen;
}

void told_deputies::update(
    moment now, const fleet_members& members, const std::string& coordinator,
    const std::function<bool(const std::string& vm)>& is_reporting)
{
    if (now >= chosen_at_ + choice_interval)
    {
        chosen_at_ = now;
        chosen_ = choose_deputies(members, coordinator, is_reporting);
    }
}

void told_deputies::add_to(proto::FleetView& view) const
{
    for (const auto& deputy : chosen_)
    {
        *view.add_deputies() = deputy;
    }
}

} // namespace tanagerhoist

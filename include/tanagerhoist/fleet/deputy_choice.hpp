#ifndef TANAGERHOIST_FLEET_DEPUTY_CHOICE_HPP
#define TANAGERHOIST_FLEET_DEPUTY_CHOICE_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/fleet_members.hpp"

#include <functional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Chooses the VMs that grant handed operations when the coordinator is lost:
/// three of those that report, with the largest processor share, in other data
/// centres than the coordinator and each other where there are any. A small
/// fleet needs none.
/// @param coordinator name of the coordinator
std::vector<proto::FleetDeputy>
choose_deputies(const fleet_members& members, const std::string& coordinator,
                const std::function<bool(const std::string& vm)>& is_reporting);

/// The deputies that a coordinator tells all VMs. They are chosen anew after a
/// while, so that views sent together name the same ones.
class told_deputies
{
public:
    /// How long a choice is told.
    static constexpr milliseconds choice_interval{1000};

    /// Chooses anew if the last choice has been told for long enough.
    void update(moment now, const fleet_members& members,
                const std::string& coordinator,
                const std::function<bool(const std::string& vm)>& is_reporting);

    /// Adds the deputies to a view of the fleet.
    void add_to(proto::FleetView& view) const;

private:
    std::vector<proto::FleetDeputy> chosen_;
    moment chosen_at_{};
};

} // namespace tanagerhoist

#endif

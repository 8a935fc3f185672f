#ifndef TANAGERHOIST_FLEET_GROUP_MONITOR_HPP
#define TANAGERHOIST_FLEET_GROUP_MONITOR_HPP

#include "fleet.pb.h"
#include "tanagerhoist/fleet/lasting_condition.hpp"
#include "tanagerhoist/session/backend_server.hpp"

#include <map>
#include <set>
#include <string>

namespace tanagerhoist
{

/// What the coordinator has to do for a group.
enum class group_action
{
    none,
    create_lead, ///< the group has no primary yet
    replace_primary,
    verify_primary, ///< it is listed as a replica: replaced if it says so too
    replace_planned ///< the primary runs, and is drained or evacuated
};

/// Decides which groups need a first lead or a failover. One operation runs at
/// a time for a group.
class group_monitor
{
public:
    /// @param lead the group's lead; null if there is none yet
    /// @param unreachable whether most VMs fail to reach the primary
    group_action next_action(moment now, const std::string& group,
                             const proto::GroupLead* lead,
                             const server_list& servers, bool unreachable);

    bool is_running(const std::string& group) const
    {
        return running_.count(group) != 0;
    }

    /// Notes that an operation on the group begins or ends.
    void operation_begun(const std::string& group) { running_.insert(group); }
    void operation_ended(const std::string& group);

private:
    group_action action_by_list(moment now, const proto::GroupLead& lead,
                                const server_list& servers);

    std::set<std::string> running_;
    std::map<std::string, lasting_condition> outdated_; ///< by group
};

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_FLEET_FLEET_COORDINATOR_HPP
#define TANAGERHOIST_FLEET_FLEET_COORDINATOR_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/fleet_members.hpp"
#include "tanagerhoist/fleet/message_order.hpp"
#include "tanagerhoist/fleet/operation_grantor.hpp"
#include "tanagerhoist/fleet/server_standings.hpp"
#include "tanagerhoist/fleet/warmup_ledger.hpp"
#include "tanagerhoist/session/backend_server.hpp"
#include "tanagerhoist/session/log_position.hpp"
#include "tanagerhoist/session/session_settings.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// State of the coordinator, built from the reports of all VMs: which
/// primaries are unreachable, which VMs have acknowledged the seal of a
/// primary, and how many operations of each workspace's rate each VM may admit.
class fleet_coordinator
{
public:
    /// @param first_start whether the fleet starts for the first time, so that
    /// no
    ///   operations have been granted yet
    /// @param warmup what a server in its warm-up may get above its rate
    /// @param paces whether servers that start or recover get less at first
    fleet_coordinator(limit_tolerance tolerance, bool first_start,
                      warmup_tolerance warmup = {}, bool paces = false);

    /// Clears all state but the grantor's, which may go on; to be called after
    /// acquiring the lease.
    /// @param token of the term
    /// @param former row of the previous holder, with its remaining balances
    /// @param members number of registered VMs
    void reset(moment now, std::uint64_t token, const proto::DutyRow& former,
               std::size_t members);

    /// Grants operations; its work may outlast the term.
    operation_grantor& grantor() { return grantor_; }
    const operation_grantor& grantor() const { return grantor_; }

    void apply_report(moment now, const proto::VmReport& report);

    /// Version of a VM's copy of the server list; 0: unknown.
    std::uint64_t servers_version(const std::string& vm) const;

    /// Version of the settings that a VM has reported; 0: unknown.
    std::uint64_t settings_version(const std::string& vm) const;

    /// Whether a VM has reported lately.
    bool is_reporting(moment now, const std::string& vm) const;

    /// Records that a view is sent to a VM now.
    /// @return sequence number of the report that the view answers
    std::uint64_t record_view(moment now, const std::string& vm,
                              std::uint64_t sequence);

    /// Grants the requests to servers in their warm-up that a VM's last report
    /// asks for, as far as the servers' limits allow.
    void add_warmup_permits(moment now, const session_settings& settings,
                            const server_list& servers, const std::string& vm,
                            proto::FleetView& view);

    /// Adds the servers that are slow or failing.
    void add_standings(moment now, const server_list& servers,
                       proto::FleetView& view)
    {
        standings_.add_to(now, servers, view);
    }
    server_standings& standings() { return standings_; }

    /// Whether more VMs fail to reach a primary than reach it, and have for
    /// `unreachable_before_failover`.
    bool is_primary_unreachable(moment now, const std::string& primary);

    /// Whether no VM uses the sealed primary any more: each has acknowledged
    /// the seal, or its primary lease has expired. If not, records until when
    /// silent VMs may use it, for add_seal_waits(). While the rows of the VMs
    /// are incomplete, all leases from before must have expired.
    /// @param seal_version version of the group's row that sealed the primary
    /// @param sealed when that row was written
    bool is_primary_unused(moment now, const proto::GroupLead& lead,
                           std::uint64_t seal_version, moment sealed,
                           const fleet_members& members);

    /// Adds the failovers that wait for silent VMs, with the time left.
    void add_seal_waits(moment now, proto::FleetView& view) const;

    /// Registered VMs that no longer report and whose primary lease has
    /// expired.
    std::vector<std::string> expired_vms(moment now,
                                         const fleet_members& members) const;

    /// Records that a sealed primary still accepted no commits at `confirmed`:
    /// its log end contains every commit up to then.
    void confirm_log_end(const proto::GroupLead& lead, const log_position& end,
                         moment confirmed);

    /// Adds the newest log position of each group that any VM has reported,
    /// with its current age.
    void add_positions(moment now, proto::FleetView& view) const;

private:
    struct vm_state
    {
        message_order messages; ///< reports
        proto::VmReport report; ///< the newest
        moment heard{};
        std::map<std::uint64_t, moment> views; ///< send time, by sequence
    };
    struct position
    {
        proto::PositionSample sample;
        moment complete_until{}; ///< contains all commits up to then
    };

    moment primary_used_until(moment now, const proto::GroupLead& lead,
                              std::uint64_t seal_version,
                              const fleet_member& member,
                              const fleet_members& members) const;
    void take_positions(const vm_state& vm);
    void take_position(const proto::PositionSample& sample,
                       moment complete_until);
    bool has_acknowledged_seal(const proto::GroupLead& lead,
                               const fleet_member& member) const;

    operation_grantor grantor_;
    warmup_tolerance warmup_tolerance_;
    warmup_ledger warmup_ledger_;
    server_standings standings_;
    std::map<std::string, vm_state> vms_;
    std::map<std::string, moment> unreachable_since_; ///< by primary
    std::map<std::string, position> positions_;       ///< by group
    /// Until when silent VMs may use sealed primaries, by group.
    std::map<std::string, moment> seal_waits_;
};

} // namespace tanagerhoist

#endif

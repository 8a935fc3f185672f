#ifndef TANAGERHOIST_FLEET_FLEET_COORDINATOR_HPP
#define TANAGERHOIST_FLEET_FLEET_COORDINATOR_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/token_bucket.hpp"
#include "tanagerhoist/session/session_settings.hpp"
#include "tanagerhoist/session/workspace_limits.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// A VM's row as the store has it.
struct fleet_member
{
    proto::MemberRow row;
    std::uint64_t version = 0; ///< of the row
};

/// The rows of all VMs, and when they were read.
struct fleet_members
{
    std::map<std::string, fleet_member> rows; ///< by VM
    milliseconds store_now{0}; ///< lower bound of the store's clock
    moment read_at{};          ///< when the read was sent
};

/// What the holder of the duty knows from the reports of all VMs: which
/// primaries fail, who has left a sealed one, and what each VM may admit of
/// the workspaces' rates.
class fleet_coordinator
{
public:
    /// @param fresh whether the fleet starts for the first time, so that no
    ///   operation was granted before
    fleet_coordinator(limit_tolerance tolerance, bool fresh);

    /// Forgets everything; to be called when the duty was taken.
    /// @param former row of the former holder, with what it had left
    void reset(const proto::DutyRow& former);

    /// What is left to grant.
    std::vector<proto::WorkspaceBalance> balances(moment now) const;

    void apply_report(moment now, const proto::VmReport& report);

    /// Version that a VM's list of servers reflects; 0: not known.
    std::uint64_t servers_version(const std::string& vm) const;

    /// Notes that a view goes to a VM now.
    /// @return sequence of the report that it answers
    std::uint64_t record_view(moment now, const std::string& vm,
                              std::uint64_t sequence);

    using grants = google::protobuf::RepeatedPtrField<proto::WorkspaceGrant>;

    /// Grants a VM what its last report wants, as far as the limits allow.
    void grant(moment now, const session_settings& settings,
               const std::string& vm, grants& given);

    /// Grants a VM what its statements wait for.
    /// @return false if the request was repeated or overtaken
    bool grant(moment now, const session_settings& settings,
               const proto::GrantRequest& request, grants& given);

    /// Whether more VMs lack a primary than reach it, and have for a while.
    bool is_primary_unreachable(moment now, const std::string& primary);

    /// Whether nobody uses the sealed primary any more: each VM has said so,
    /// or its right has ended.
    /// @param seal_version version of the row that sealed it
    /// @param sealed when that was written
    bool is_primary_unused(moment now, const proto::GroupLead& lead,
                           std::uint64_t seal_version, moment sealed,
                           const fleet_members& members) const;

    /// Registered VMs whose right has ended and that no longer report.
    std::vector<std::string> expired_vms(moment now,
                                         const fleet_members& members) const;

    /// The newest positions that any VM told, with their present age.
    void add_positions(moment now, proto::FleetView& view) const;

private:
    struct vm_state
    {
        proto::VmReport report;
        moment heard{};
        std::map<std::uint64_t, moment> views; ///< sent, by sequence
    };
    /// What is left of a workspace's limits, and what VMs hold of it.
    struct workspace_account
    {
        token_bucket available;
        std::uint64_t capacity = 0; ///< of `available` and all stocks together
        std::map<std::string, std::uint64_t>
            stocks; ///< granted and unused, by VM
        std::map<std::string, std::uint64_t> asked; ///< rate per 1,000 s, by VM
        bool known = false;
    };
    struct position
    {
        proto::PositionSample sample;
        moment complete_until{};
    };

    void take_positions(const vm_state& vm);
    bool has_acknowledged_seal(const proto::GroupLead& lead,
                               const fleet_member& member) const;
    static bool is_below_limit(const workspace_account& account,
                               const fleet_allowance& allowed);
    void grant_workspace(moment now, const session_settings& settings,
                         const std::string& vm,
                         const proto::WorkspaceDemand& demand, grants& given);
    std::uint64_t coordinator_share_parts() const;
    workspace_account& account(moment now, const std::string& workspace,
                               const session_workspace& limits);

    limit_tolerance tolerance_;
    bool fresh_;
    std::map<std::string, std::uint64_t> former_balances_; ///< by workspace
    std::map<std::string, vm_state> vms_;
    std::map<std::string, workspace_account> accounts_; ///< by workspace
    std::map<std::string, moment> unreachable_since_;   ///< by primary
    std::map<std::string, position> positions_;         ///< by group
};

} // namespace tanagerhoist

#endif

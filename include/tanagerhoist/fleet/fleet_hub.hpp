#ifndef TANAGERHOIST_FLEET_FLEET_HUB_HPP
#define TANAGERHOIST_FLEET_FLEET_HUB_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/session_settings.hpp"

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
    milliseconds store_now{0};                ///< the store's clock, at least
    moment read_at{};                         ///< when the read was sent
};

/// What the holder of the duty knows from the reports of all VMs: which
/// primaries fail, who has left a sealed one, and who gets which share of the
/// workspaces' rates.
class fleet_hub
{
public:
    /// Forgets everything; to be called when the duty was taken.
    /// @param former_end when the former holder's last word may have been
    void begin(moment former_end);

    void take_report(moment now, const proto::VmReport& report);

    /// Whether more VMs lack a primary than reach it, and have for a while.
    bool is_lost(moment now, const std::string& primary);

    /// Whether nobody uses the sealed primary any more: each VM has said so,
    /// or its right has ended.
    /// @param seal_version version of the row that sealed it
    /// @param sealed when that was written
    bool is_sealed(moment now, const proto::GroupLead& lead,
                   std::uint64_t seal_version, moment sealed,
                   const fleet_members& members) const;

    /// Registered VMs whose right has ended and that no longer report.
    std::vector<std::string> lapsed(moment now,
                                    const fleet_members& members) const;

    /// Deals out the shares anew; to be called a few times a second.
    void deal(moment now, const session_settings& settings,
              const fleet_members& members);

    /// Adds a VM's shares to what it is told.
    void add_shares(const std::string& vm, proto::FleetView& view) const;

    /// The newest positions that any VM told, with their present age.
    void add_positions(moment now, proto::FleetView& view) const;

private:
    struct vm_state
    {
        proto::VmReport report;
        moment heard{};
    };
    /// Whether a VM that does not report may still use shares.
    bool may_hold_shares(const fleet_member& member,
                         milliseconds store_now) const;

    struct grant
    {
        std::uint64_t parts = 0;     ///< dealt last
        std::uint64_t confirmed = 0; ///< what the VM says that it uses
        std::uint64_t asked = 0;
        moment sent{};
    };
    struct workspace_grants
    {
        std::map<std::string, grant> by_vm;
        bool exhausted = false;
    };
    struct position
    {
        proto::PositionSample sample;
        moment covers{};
    };

    bool has_acked(const proto::GroupLead& lead,
                   const fleet_member& member) const;
    void deal_workspace(moment now, const std::string& workspace,
                        const session_workspace& share);

    std::map<std::string, vm_state> vms_;
    std::map<std::string, workspace_grants> grants_; ///< by workspace
    std::map<std::string, moment> failing_since_; ///< by primary
    std::map<std::string, position> positions_;   ///< by group
    moment former_end_{};
    bool all_reported_ = false;
};

} // namespace tanagerhoist

#endif

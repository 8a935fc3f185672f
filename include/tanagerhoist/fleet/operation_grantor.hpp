#ifndef TANAGERHOIST_FLEET_OPERATION_GRANTOR_HPP
#define TANAGERHOIST_FLEET_OPERATION_GRANTOR_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/grant_ledger.hpp"
#include "tanagerhoist/fleet/message_order.hpp"
#include "tanagerhoist/session/session_settings.hpp"
#include "tanagerhoist/session/workspace_limits.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// How long a coordinator goes on granting operations after its term, if it
/// hears of no successor. A successor withholds the share of VMs that have not
/// joined it for longer than that.
constexpr milliseconds longest_granting_after_term = longest_standalone;

/// Grants operations of the workspaces' limits to VMs. Granting begins with a
/// coordinator's term and outlasts it, so that VMs are served while the store
/// is too slow for the lease to be renewed. It ends when any message names a
/// newer token: a VM uses grants of the newest coordinator that it has heard
/// only, so each VM is served by one grantor at most.
class operation_grantor
{
public:
    /// @param first_start whether the fleet starts for the first time, so that
    ///   no operations have been granted yet
    operation_grantor(limit_tolerance tolerance, bool first_start);

    /// Begins to grant in a term. The accounts are kept if the former holder's
    /// term is the last one of this grantor and this is not long after it:
    /// nobody else has granted since.
    /// @param token of the term
    /// @param former row of the previous holder, with its remaining balances
    /// @param members number of registered VMs
    void begin_term(moment now, std::uint64_t token,
                    const proto::DutyRow& former, std::size_t members);

    /// Sets when the term ends. Renewals of the lease move the end.
    void use_term_end(moment end) { term_end_ = end; }

    moment term_end() const { return term_end_; }

    /// Sets whether the term still runs.
    void use_term(moment now, bool runs);

    /// Sets the number of registered VMs.
    void use_members(std::size_t members) { members_ = members; }

    /// Notes a token that another VM knows. A newer one than that of the last
    /// term ends granting after the term.
    void note_token(std::uint64_t token);

    /// Whether to grant: in the term, and for a while after it.
    bool is_granting(moment now) const;

    /// Whether the term still runs, as far as use_term() told.
    bool is_in_term() const { return in_term_; }

    std::uint64_t token() const { return token_; }
    std::uint64_t newest_token() const { return newest_token_; }

    /// Operations that are still available for grants.
    std::vector<proto::WorkspaceBalance> balances(moment now) const
    {
        return ledger_.balances(now);
    }

    void apply_report(moment now, const proto::VmReport& report);

    using grants = google::protobuf::RepeatedPtrField<proto::WorkspaceGrant>;

    /// Grants the demand in a VM's last report, as far as the limits allow.
    void grant(moment now, const session_settings& settings,
               const std::string& vm, grants& given);

    /// Grants a VM the operations that its queued statements need.
    /// @return false if the request is a duplicate or out of date
    bool grant(moment now, const session_settings& settings,
               const proto::GrantRequest& request, grants& given);

private:
    using demands = google::protobuf::RepeatedPtrField<proto::WorkspaceDemand>;
    struct vm_state
    {
        message_order messages; ///< reports and requests
        demands demand;         ///< of the last report, not yet granted
        moment heard{};
        bool joined = false;     ///< uses no grants of a former coordinator
        bool gone = false;       ///< silent for so long that it holds no grants
        bool standalone = false; ///< silent, so that it may have no coordinator
    };

    bool is_soon_after_term(moment now) const;
    void note_heard(moment now, const std::string& name, std::uint64_t token,
                    vm_state& vm);
    void grant_demand(moment now, const session_settings& settings,
                      const std::string& vm, const demands& wanted,
                      grants& given);
    void check_silent_vms(moment now);
    std::uint64_t heard_parts(moment now, std::uint64_t parts) const;
    std::uint64_t coordinator_share_parts() const;

    grant_ledger ledger_;
    std::map<std::string, vm_state> vms_;
    std::size_t members_ = 0;
    std::size_t joined_ = 0;    ///< VMs that have joined
    std::size_t reporting_ = 0; ///< VMs that are not silent
    std::uint64_t token_ = 0;
    std::uint64_t newest_token_ = 0; ///< that any VM is known to have heard
    bool in_term_ = false;
    bool first_holder_ = false; ///< no VM had a coordinator before
    moment begun_{};            ///< when the accounts were begun
    moment term_end_{};
    moment silent_checked_{}; ///< when silent VMs were looked for
};

} // namespace tanagerhoist

#endif

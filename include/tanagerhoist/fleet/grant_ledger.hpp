#ifndef TANAGERHOIST_FLEET_GRANT_LEDGER_HPP
#define TANAGERHOIST_FLEET_GRANT_LEDGER_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/token_bucket.hpp"
#include "tanagerhoist/session/session_settings.hpp"
#include "tanagerhoist/session/workspace_limits.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanagerhoist
{

/// Operations that all VMs together may admit at once when they have lost the
/// coordinator.
std::uint64_t standalone_limit(const session_workspace& limits,
                               const limit_tolerance& tolerance);

/// What the coordinator can still grant of each workspace's limit, and what
/// each VM holds of it. The cost of a grant does not depend on the number of
/// VMs.
class grant_ledger
{
public:
    /// @param first_start whether the fleet starts for the first time, so that
    ///   no operations have been granted yet
    grant_ledger(limit_tolerance tolerance, bool first_start);

    /// Clears all accounts; to be called after acquiring the lease.
    /// @param former row of the previous holder, with its remaining balances
    void reset(moment now, const proto::DutyRow& former);

    /// Operations that are still available for grants.
    std::vector<proto::WorkspaceBalance> balances(moment now) const;

    /// Sets the part of each limit that is granted, of `share_parts`.
    void use_parts(std::uint64_t parts) { parts_ = parts; }

    /// Notes how many operations per 1,000 s a VM's callers request.
    void note_rate(moment now, const std::string& vm,
                   const std::string& workspace, std::uint64_t per_1000s);

    /// Forgets what a VM holds and requests: it has restarted, or is gone.
    void forget(const std::string& vm);

    /// Sets whether a VM may have no coordinator, and so admit what it was told
    /// that it may then. That is not granted to others.
    void set_standalone(const std::string& vm, bool standalone);

    /// Grants what a VM lacks, as far as the limits allow.
    proto::WorkspaceGrant grant(moment now, const session_workspace& limits,
                                const std::string& vm,
                                const proto::WorkspaceDemand& demand);

private:
    struct holding
    {
        std::uint64_t stock = 0; ///< operations granted and unused
        std::uint64_t requested_per_1000s = 0;
        moment asked{}; ///< when the VM last had a demand
        std::uint64_t standalone_per_1000s = 0; ///< told to the VM
        std::uint64_t standalone_at_once = 0;   ///< told to the VM
        bool standalone = false;                ///< may admit these
    };
    struct account
    {
        token_bucket available;
        std::uint64_t capacity = 0; ///< of `available` and all stocks, tokens
        std::unordered_map<std::string, holding> vms;
        std::uint64_t stock = 0; ///< sum over all VMs
        std::uint64_t requested_per_1000s = 0;
        std::uint64_t standalone_at_once = 0;   ///< told to all VMs
        std::uint64_t standalone_per_1000s = 0; ///< of those that may use it
        moment idle_checked{}; ///< when VMs without demand were looked for
        bool known = false;
    };

    static holding& holding_of(account& of, const std::string& vm);
    static void set_stock(account& of, holding& held, std::uint64_t stock);
    void update(moment now, account& of, const std::string& workspace,
                const fleet_allowance& allowed);
    void add_standalone(moment now, account& of, holding& held,
                        const session_workspace& limits, bool calm,
                        proto::WorkspaceGrant& grant) const;
    static void erase(account& of, const std::string& vm);
    static void erase_idle(moment now, account& of);
    static bool is_below_limit(const account& of,
                               const fleet_allowance& allowed);

    limit_tolerance tolerance_;
    bool first_start_;
    std::uint64_t parts_ = share_parts;
    moment begun_{}; ///< when this VM became coordinator
    std::map<std::string, std::uint64_t> former_balances_; ///< by workspace
    std::unordered_map<std::string, account> accounts_;    ///< by workspace
};

} // namespace tanagerhoist

#endif

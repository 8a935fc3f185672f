#ifndef TANAGERHOIST_FLEET_WARMUP_LEDGER_HPP
#define TANAGERHOIST_FLEET_WARMUP_LEDGER_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/warmup_permits.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace tanagerhoist
{

/// Permits that the coordinator has granted for servers in their warm-up.
///
/// A permit is used within its lifetime after it was granted. So all requests
/// of any second were granted within that second and one lifetime before, and
/// it suffices to bound the grants over that span. A coordinator that has just
/// got the lease doesn't know its predecessor's grants, and grants nothing for
/// as long. Grants are spread over the span, and each VM waits until all others
/// could have had one, so that neither times nor VMs go without.
class warmup_ledger
{
public:
    /// Forgets all grants; to be called after acquiring the lease.
    void reset(moment now);

    /// Grants requests to a VM.
    /// @param limit requests of all VMs to the server in any second
    /// @param wanted requests that the VM would send
    /// @return requests that it may send
    std::uint64_t grant(moment now, const std::string& server,
                        std::uint64_t limit, const std::string& vm,
                        std::uint64_t wanted);

private:
    struct granted
    {
        moment at;
        std::uint64_t requests;
    };
    struct demand
    {
        moment asked{};
        moment granted{};
    };
    struct account
    {
        std::deque<granted> grants;
        std::uint64_t sum = 0;             ///< of `grants`
        double credit = 0;                 ///< requests that may be granted now
        moment credited{};                 ///< when `credit` was updated
        std::map<std::string, demand> vms; ///< that asked lately
    };

    static void add_credit(moment now, account& of, std::uint64_t limit);
    static void forget_old(moment now, account& of);
    void forget_idle(moment now);

    moment begun_{}; ///< when this VM became coordinator
    std::map<std::string, account> accounts_; ///< by server
};

} // namespace tanagerhoist

#endif

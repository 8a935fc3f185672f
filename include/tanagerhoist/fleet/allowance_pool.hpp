#ifndef TANAGERHOIST_FLEET_ALLOWANCE_POOL_HPP
#define TANAGERHOIST_FLEET_ALLOWANCE_POOL_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/message_order.hpp"
#include "tanagerhoist/session/session_settings.hpp"
#include "tanagerhoist/session/workspace_limits.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace tanagerhoist
{

/// What VMs without a coordinator have handed to this VM, their deputy. It
/// grants whole operations out of it, each at most once: all that it grants was
/// debited at some VM. Lost messages lose operations.
class allowance_pool
{
public:
    explicit allowance_pool(limit_tolerance tolerance) : tolerance_(tolerance)
    {
    }

    /// Drops what was handed over if a newer coordinator is heard.
    void use_token(std::uint64_t token);

    /// Adds what a VM hands over and grants what its statements lack.
    /// @param reply takes the operations granted
    /// @return false if the message is a duplicate or out of date
    bool use_handover(moment now, const session_settings& settings,
                      const proto::OperationHandover& handover,
                      proto::HandoverReply& reply);

    /// Whether VMs have handed over operations lately.
    bool is_serving(moment now) const;

    /// Operations since the start; those handed over are rounded down.
    std::uint64_t handed() const { return handed_millionths_ / token_unit; }
    std::uint64_t granted() const { return granted_; }

private:
    /// What was handed over in a short time.
    struct portion
    {
        moment begun{};
        std::uint64_t millionths = 0;
    };
    struct account
    {
        std::deque<portion> portions; ///< oldest first
        std::uint64_t millionths = 0; ///< sum of the portions
        double rate = 0;              ///< of the workspace's limit
    };

    std::uint64_t most(const session_workspace& limits) const;
    void add(moment now, account& of, const session_workspace& limits,
             std::uint64_t millionths) const;
    static void remove(account& of, std::uint64_t millionths);
    static void remove_old(moment now, account& of);

    limit_tolerance tolerance_;
    std::map<std::string, message_order> senders_; ///< by VM
    std::unordered_map<std::string, account> accounts_;
    std::uint64_t token_ = 0;
    std::uint64_t handed_millionths_ = 0;
    std::uint64_t granted_ = 0;
    moment served_{}; ///< last message
};

} // namespace tanagerhoist

#endif

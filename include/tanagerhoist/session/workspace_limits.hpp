#ifndef TANAGERHOIST_SESSION_WORKSPACE_LIMITS_HPP
#define TANAGERHOIST_SESSION_WORKSPACE_LIMITS_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/token_bucket.hpp"
#include "tanagerhoist/session/session_settings.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace tanagerhoist
{

/// Share of each workspace that is split evenly over the registered VMs, so
/// that a VM without contact serves on. The rest goes where it is asked for.
constexpr std::uint64_t even_parts = share_parts / 5;

/// How long a VM uses its share of the rest without hearing of it again.
constexpr milliseconds share_duration{8000};

/// How far the fleet may exceed a workspace's limits in one window, as the
/// operator allows it. It is used for bursts at single VMs, so that a VM that
/// few callers reach can admit them without asking.
struct limit_tolerance
{
    std::chrono::seconds window{5};
    double overage = 0.1; ///< of what the limits allow in a window
    double slack = 20;    ///< operations
};

/// This VM's part of each workspace's rate and burst.
class workspace_limits
{
public:
    /// @param fresh whether no VM can have used any share before
    explicit workspace_limits(limit_tolerance tolerance = {},
                              bool fresh = true);

    void use_settings(moment now, const session_settings& settings);

    /// Takes over the number of VMs between which the even share is split.
    void use_members(moment now, std::size_t members);

    /// Takes over the share of the rest that the duty's holder deals out.
    void use_shares(moment now, const proto::FleetView& view);

    /// Notes that callers of the workspace are here.
    void expect(const std::string& workspace);

    /// Debits one operation.
    /// @param again whether the operation was refused before
    /// @return false if the workspace's share is used up
    bool take(moment now, const std::string& workspace, bool again = false);

    /// Whether a larger share may come soon, since the fleet as a whole is not
    /// asked for more than the workspace's rate.
    bool may_grow(moment now, const std::string& workspace) const;

    /// Time until one operation can be debited again.
    milliseconds wait(moment now, const std::string& workspace) const;

    /// What was asked for since the last call, as operations per second.
    std::vector<proto::WorkspaceDemand> demand(moment now);

    /// Whether operations were refused since the last report, so that the
    /// shares should move.
    bool is_short() const { return short_; }

    /// Gives back shares that were not confirmed in time.
    void expire(moment now);

private:
    struct allowance
    {
        token_bucket bucket;
        double capacity = 0;     ///< operations at once, of the whole fleet
        std::uint64_t dealt = 0; ///< parts of the rest
        std::uint64_t asked = 0; ///< since the last report
        bool exhausted = false;  ///< in the whole fleet
        moment expected{};       ///< when callers were last here
        double asked_per_s = 0;  ///< over some seconds
        double just_asked = 0;   ///< per second, over the last reports
    };

    void apply(moment now, allowance& share) const;

    limit_tolerance tolerance_;
    bool fresh_;
    std::unordered_map<std::string, allowance> shares_;
    std::size_t members_ = 1;
    moment dealt_at_{};
    moment reported_{};
    bool short_ = false;
};

} // namespace tanagerhoist

#endif

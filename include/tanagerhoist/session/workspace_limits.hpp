#ifndef TANAGERHOIST_SESSION_WORKSPACE_LIMITS_HPP
#define TANAGERHOIST_SESSION_WORKSPACE_LIMITS_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/token_bucket.hpp"
#include "tanagerhoist/session/session_settings.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanagerhoist
{

/// Parts of each workspace's rate that are split evenly over the registered
/// VMs, so that a VM without contact serves on. The holder of the duty grants
/// the rest where it is asked for.
constexpr std::uint64_t even_share_parts = share_parts / 5;

/// How far the fleet may exceed a workspace's limits in one window, as the
/// operator allows it. It is used for bursts, so that a VM that few callers
/// reach can admit them from a stock of its own.
struct limit_tolerance
{
    std::chrono::seconds window{5};
    double overage = 0.1; ///< of what the limits allow in a window
    double slack = 20;    ///< operations at once
};

/// How a workspace's limit of one window is admitted: steadily, and at once.
struct fleet_allowance
{
    double rate = 0;     ///< operations at once per second
    double capacity = 0; ///< operations at once
};

/// Splits what the whole fleet may admit in a window.
fleet_allowance allowance_of(const session_workspace& workspace,
                             const limit_tolerance& tolerance);

/// What this VM may admit of each workspace: a stock that was granted to it,
/// and an even share that needs nobody. A granted operation is used once, so
/// grants need no taking back when VMs or the holder of the duty die.
class workspace_limits
{
public:
    explicit workspace_limits(limit_tolerance tolerance = {});

    void use_settings(moment now, const session_settings& settings);

    /// Takes over the number of VMs between which the even share is split.
    void use_members(moment now, std::size_t members);

    using grants = google::protobuf::RepeatedPtrField<proto::WorkspaceGrant>;

    /// Adds what was granted. Each message is taken once, in order.
    void use_grants(moment now, const grants& given);

    /// Notes that callers of the workspace are here.
    void note_callers(moment now, const std::string& workspace);

    /// Uses one operation.
    /// @param again whether the caller was counted before
    /// @return false if nothing is left
    bool take(moment now, const std::string& workspace, bool again = false);

    /// Takes an operation back that was not run.
    void refund(const std::string& workspace);

    /// What decides about the workspace's operations now, for log lines.
    std::string describe(moment now, const std::string& workspace) const;

    /// Whether a grant may come soon.
    bool may_receive_grant(moment now, const std::string& workspace) const;

    /// Time until one operation can be taken again.
    milliseconds wait(moment now, const std::string& workspace) const;

    /// What this VM has and wants. Stock that is no longer wanted goes back.
    std::vector<proto::WorkspaceDemand> demand(moment now);

    /// What statements wait for now.
    std::vector<proto::WorkspaceDemand> missing(moment now);

    /// Whether to ask the holder for more now. Where the whole fleet's limit
    /// is used up, the VMs together ask at a bounded pace.
    bool needs_grant(moment now) const;

private:
    struct allowance
    {
        token_bucket even;     ///< needs no grant
        token_bucket fallback; ///< while no holder of the duty is heard
        bool calm = false;     ///< the fleet was asked for less than allowed
        fleet_allowance fleet;
        std::uint64_t stock = 0;
        std::uint64_t asked = 0;   ///< since the last report
        std::uint64_t missing = 0; ///< refused or held since the last report
        double asked_per_s = 0;    ///< over some seconds
        double recently_asked_per_s = 0; ///< per second, over the last reports
        bool exhausted = false;          ///< in the whole fleet, for a while
        bool fleet_empty = false; ///< in the whole fleet, at the last answer
        moment callers_seen{};    ///< when callers were last here
    };

    void apply(moment now, allowance& share) const;
    void record_request(moment now);
    bool is_coordinator_lost(moment now) const;
    bool take_without_coordinator(moment now, allowance& share) const;
    static std::uint64_t wanted(moment now, const allowance& share);

    limit_tolerance tolerance_;
    std::unordered_map<std::string, allowance> shares_;
    std::size_t members_ = 1;
    moment last_message_{};
    moment last_report_{};
    std::optional<moment> unanswered_since_; ///< oldest request without answer
    moment last_request_{};    ///< when grants were last asked for
    bool stock_empty_ = false; ///< since then a stock was empty
    bool fleet_exhausted_ =
        false; ///< since then a stock was empty, and the fleet's too
};

} // namespace tanagerhoist

#endif

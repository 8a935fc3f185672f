#ifndef TANAGERHOIST_SESSION_WORKSPACE_LIMITS_HPP
#define TANAGERHOIST_SESSION_WORKSPACE_LIMITS_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/token_bucket.hpp"
#include "tanagerhoist/session/coordinator_times.hpp"
#include "tanagerhoist/session/deputy_link.hpp"
#include "tanagerhoist/session/limit_refusal.hpp"
#include "tanagerhoist/session/session_settings.hpp"
#include "tanagerhoist/session/standalone_allowance.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanagerhoist
{

/// Part of each workspace's rate, out of `share_parts`, that is split evenly
/// over the registered VMs, so that a VM without contact to the coordinator
/// keeps serving. The coordinator grants the rest on demand.
constexpr std::uint64_t even_share_parts = share_parts / 5;

/// Largest number of VMs with which each has an even share, of at least one
/// operation per workspace.
constexpr std::size_t small_fleet = 12;

/// How far the operator lets the fleet exceed a workspace's limits in a window.
/// The excess is used for bursts, so that a VM with few callers can admit them
/// from its own stock.
struct limit_tolerance
{
    std::chrono::seconds window{5};
    double overage = 0.1; ///< fraction of what the limits allow in a window
    double slack = 20;    ///< operations
};

/// A workspace's limit over one window, as a token bucket for the whole fleet.
struct fleet_allowance
{
    double rate = 0;     ///< operations per second
    double capacity = 0; ///< operations
};

/// How long a VM without a coordinator admits what the last one allows: longer
/// than the next one needs to take over.
constexpr milliseconds longest_standalone{6500};

/// Operations above a workspace's limit that the operator tolerates in a
/// window.
double tolerated_excess(const session_workspace& workspace,
                        const limit_tolerance& tolerance);

/// Converts the limit of a window into a rate and a burst capacity.
fleet_allowance allowance_of(const session_workspace& workspace,
                             const limit_tolerance& tolerance);

/// Admission control of one VM per workspace: a stock of granted operations,
/// and an even share that needs no grant. A granted operation is used only
/// once, so grants need not be revoked when a VM or the coordinator dies.
class workspace_limits
{
public:
    explicit workspace_limits(limit_tolerance tolerance = {});

    void use_settings(moment now, const session_settings& settings);

    /// Sets the number of VMs among which the even share is split.
    void use_members(moment now, std::size_t members);

    using grants = google::protobuf::RepeatedPtrField<proto::WorkspaceGrant>;

    /// Adds granted operations to the stock. Each message must be passed
    /// exactly once, in order.
    /// @param in_term whether the coordinator holds its lease: only then it
    ///   tells what may be admitted without it
    void use_grants(moment now, const grants& given, bool in_term = true);

    /// Notes that this VM has callers of the workspace.
    void note_callers(moment now, const std::string& workspace);

    /// Takes one operation.
    /// @param again whether the operation was already counted as demand
    /// @return false if no operation is left
    bool take(moment now, const std::string& workspace, bool again = false);

    /// Notes that a statement is held for a grant, which the next request asks
    /// for.
    void note_held(const std::string& workspace);

    /// Forgets which statements are held: what was asked of a former
    /// coordinator is not going to be answered.
    void forget_held();

    /// Returns an operation that was not run to the stock.
    void refund(const std::string& workspace);

    /// Describes the state of the workspace's limit, for log lines.
    std::string describe(moment now, const std::string& workspace) const;

    /// Whether a grant can be expected soon: while the fleet-wide limit is used
    /// up, only by the statement that asks for it next.
    bool may_receive_grant(moment now, const std::string& workspace) const;

    /// Why an operation was not admitted, and when its caller should come back.
    /// Callers come back when operations can be expected, not all at once.
    /// @param part of the time over which callers are spread, from 0 to 1
    limit_refusal refusal(moment now, const std::string& workspace,
                          double part) const;

    /// Reports stock and demand. Returns stock that is no longer needed.
    std::vector<proto::WorkspaceDemand> demand(moment now);

    /// Reports the operations that waiting statements lack.
    std::vector<proto::WorkspaceDemand> missing(moment now);

    /// Whether to request a grant now. While the fleet-wide limit is used up,
    /// the request rate of all VMs together is bounded.
    bool needs_grant(moment now) const;

    /// @name Operations that a deputy grants while the coordinator is lost
    /// @{
    /// Sets how many deputies there are; they are asked in their order.
    void use_deputies(std::size_t count) { deputy_.use_deputies(count); }

    /// Whether to hand operations to a deputy, or ask it for some, now.
    /// @param holds whether statements are held
    bool is_handover_due(moment now, bool holds) const;

    /// The deputy to be asked, and whether the last message to it was answered.
    const deputy_link& deputy() const { return deputy_; }

    using held_statements = std::map<std::string, std::uint64_t>;

    /// Debits what the coordinator has told this VM that it may admit alone,
    /// unless the deputy has not answered yet: then it is only asked.
    /// @param sequence of the message that carries it
    /// @param held number of held statements by workspace
    std::vector<proto::HandedOperations>
    hand_over(moment now, std::uint64_t sequence, const held_statements& held);

    /// Adds the operations in a deputy's answer to the stock.
    /// @return false if it is a duplicate or out of date
    bool use_handover_reply(const proto::HandoverReply& reply);
    /// @}

private:
    struct allowance
    {
        token_bucket even; ///< needs no grant
        standalone_allowance standalone;
        bool calm = false; ///< the demand on the fleet is below its limit
        fleet_allowance fleet;
        std::uint64_t stock = 0;
        std::uint64_t asked = 0;         ///< since the last report
        std::uint64_t missing = 0;       ///< held statements, not yet requested
        double asked_per_s = 0;          ///< over a few seconds
        double recently_asked_per_s = 0; ///< over the last reports
        bool exhausted = false;          ///< fleet-wide limit, for a while
        bool fleet_empty = false; ///< fleet-wide limit, at the last grant
        moment callers_seen{};    ///< when callers were last seen
    };

    void apply(moment now, allowance& share) const;
    void record_request(moment now);
    bool is_request_due(moment now) const;
    bool is_coordinator_lost(moment now) const;
    bool is_coordinator_silent(moment now) const;
    bool may_hand_over(moment now) const;
    limit_cause cause(moment now, const allowance& share) const;
    milliseconds coordinator_wait(moment now) const;
    bool take_standalone(moment now, allowance& share) const;
    static std::uint64_t wanted(moment now, const allowance& share);

    limit_tolerance tolerance_;
    std::unordered_map<std::string, allowance> shares_;
    std::size_t members_ = 1;
    moment last_message_{};
    moment last_in_term_{}; ///< last message of a coordinator in its term
    moment last_report_{};
    deputy_link deputy_;
    std::optional<moment> unanswered_since_; ///< oldest unanswered request
    moment last_request_{};                  ///< time of the last request
    /// A stock was empty since the last request.
    bool stock_empty_ = false;
    /// A stock and the fleet-wide limit were used up since the last request.
    bool fleet_exhausted_ = false;
};

} // namespace tanagerhoist

#endif

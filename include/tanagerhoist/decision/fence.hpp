#ifndef TANAGERHOIST_DECISION_FENCE_HPP
#define TANAGERHOIST_DECISION_FENCE_HPP

#include "tanagerhoist/core/time.hpp"

#include <optional>

namespace tanagerhoist
{

/// Time limits of a fence.
struct fence_options
{
    milliseconds window{1500};      ///< maximum age of evidence
    milliseconds max_tick_gap{500}; ///< a longer gap means a process freeze
};

/// Self-fencing: decides whether this VM may accept requests. A change of the
/// settings, such as the withdrawal of a key, must take effect within seconds,
/// so a VM that may hold outdated settings refuses.
///
/// A VM may serve while it has recent evidence that its settings are current:
/// it read the platform's head row within the window, or it receives heartbeats
/// from a majority of the listed VMs, one of which would have announced a newer
/// version.
///
/// - Partitioned from both platform and majority: the VM cannot tell whether
///   its settings are current, and refuses.
/// - Platform outage: every VM still hears the majority and keeps serving. No
///   change can be published meanwhile, so none is missed.
/// - Partition with the platform on one side and the majority on the other:
///   both sides serve. A change published during the partition does not reach
///   the majority side until the partition heals; the VMs there do not
///   acknowledge it, and tanagerhoist-publish reports it as not yet in force.
///   Refusing without the platform instead would turn every platform outage
///   into a service outage.
///
/// After a freeze of this process, earlier evidence is discarded, since
/// messages buffered in its sockets appear recent but are not. A read of the
/// head row sent after the freeze is accepted at once; heartbeats are accepted
/// again after one whole window, when all of those in it were sent since.
class fence
{
public:
    explicit fence(fence_options options = {});

    /// Updates the evidence; must be called on each tick.
    /// @param last_platform_contact send time of the last successful read of
    ///     the head row; zero if there was none
    /// @param majority_heard whether heartbeats arrived within the window from
    ///     a majority of the listed VMs, this one included
    void on_tick(moment now, moment last_platform_contact, bool majority_heard);

    /// Whether new requests may be accepted; otherwise they are refused as
    /// `isolated`. Also false if the last tick is more than `max_tick_gap` ago.
    bool may_serve(moment now) const;

private:
    bool platform_contact_is_fresh(moment now) const;
    bool majority_is_fresh(moment now) const;

    fence_options options_;
    std::optional<moment> last_tick_;
    std::optional<moment> last_freeze_end_;
    moment last_platform_contact_;
    bool majority_heard_ = false;
};

} // namespace tanagerhoist

#endif

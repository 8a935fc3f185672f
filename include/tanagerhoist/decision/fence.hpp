#ifndef TANAGERHOIST_DECISION_FENCE_HPP
#define TANAGERHOIST_DECISION_FENCE_HPP

#include "tanagerhoist/core/time.hpp"

#include <optional>

namespace tanagerhoist
{

/// Times of a fence.
struct fence_options
{
    milliseconds window{1500};      ///< age that evidence may reach
    milliseconds max_tick_gap{500}; ///< a longer gap means that we were frozen
};

/// Decides whether this VM may take requests, given that settings such as the
/// withdrawal of a key must reach it within seconds.
///
/// A VM may serve while it has fresh evidence that its settings are current:
/// it read the platform's head row within the window, or it hears a majority
/// of the listed VMs, one of which would have told it of a newer version.
///
/// - Cut off from platform and majority: it cannot know, and refuses.
/// - Platform outage seen by all: every VM hears the majority, service goes
///   on. No change can be published meanwhile, so none is missed.
/// - Platform on one side, most VMs on the other: both sides serve. The price
///   is that a change published during the cut does not reach the majority
///   side until it heals; no acknowledgement arrives from there, and
///   tanagerhoist-publish reports the change as not yet in force. The other
///   choice, refusing without the platform, would turn each of its outages
///   into one of the service.
///
/// After a freeze of this process, evidence from before is void: messages that
/// waited in its sockets look fresh but are not. A read of the head row sent
/// after the freeze counts at once; peers count again when a whole window has
/// passed, so that only what they sent since is in it.
class fence
{
public:
    explicit fence(fence_options options = {});

    /// Takes the evidence; to be called at each tick.
    /// @param last_platform_contact when the last answered read of the head
    ///     row was sent; zero if there was none
    /// @param majority_heard whether a majority of the listed VMs, this one
    ///     included, was heard within the window
    void on_tick(moment now, moment last_platform_contact, bool majority_heard);

    /// Whether new requests may be taken; if not, they are refused as
    /// `isolated`. False also when ticks have stopped for too long.
    bool may_serve(moment now) const;

private:
    bool platform_contact_is_fresh(moment now) const;
    bool majority_is_fresh(moment now) const;

    fence_options options_;
    std::optional<moment> last_tick_;
    std::optional<moment> last_freeze_end_; // end of the last freeze
    moment last_platform_contact_;
    bool majority_heard_ = false;
};

} // namespace tanagerhoist

#endif

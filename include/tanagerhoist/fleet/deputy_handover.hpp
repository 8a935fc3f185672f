#ifndef TANAGERHOIST_FLEET_DEPUTY_HANDOVER_HPP
#define TANAGERHOIST_FLEET_DEPUTY_HANDOVER_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/workspace_limits.hpp"

#include <functional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// What a VM hands to its deputies while the coordinator is lost.
class deputy_handover
{
public:
    /// Sends a message to a deputy.
    using sender = std::function<void(const proto::FleetDeputy& to,
                                      proto::OperationHandover message)>;

    /// @param limits must outlive this object
    explicit deputy_handover(workspace_limits& limits) : limits_(limits) {}

    /// Takes over the deputies that the coordinator tells, in their order.
    void use_deputies(const proto::FleetView& view);

    /// Whether to hand operations to a deputy, or ask it for some, now.
    /// @param holds whether statements are held
    bool is_due(moment now, bool holds) const;

    /// Hands to a deputy what this VM may admit alone, and asks for what its
    /// held statements lack.
    /// @param message names its sender; the operations are added
    /// @param held number of held statements by workspace
    void hand_over(moment now, proto::OperationHandover message,
                   const workspace_limits::held_statements& held,
                   const sender& send);

    /// Name of the deputy that answers; empty if none does.
    std::string answering_deputy() const;

private:
    workspace_limits& limits_;
    std::vector<proto::FleetDeputy> deputies_;
};

} // namespace tanagerhoist

#endif

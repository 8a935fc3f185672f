#ifndef TANAGERHOIST_FLEET_DEPUTY_HANDOVER_HPP
#define TANAGERHOIST_FLEET_DEPUTY_HANDOVER_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/workspace_limits.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// What a VM hands to its deputies while the coordinator is lost. Operations
/// are debited before their message is sent; those of a message that could not
/// be sent are lost and counted, as it may have left nevertheless.
class deputy_handover
{
public:
    /// Sends a message to a deputy.
    /// @return false if it could not be sent
    using sender = std::function<bool(const proto::FleetDeputy& to,
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

    /// Counts an answer that this VM gave as a deputy and could not send.
    void note_unsent(const proto::HandoverReply& reply);

    /// Messages that could not be sent.
    std::uint64_t unsent_messages() const { return unsent_messages_; }

    /// Operations in messages that could not be sent, rounded down.
    std::uint64_t unsent_operations() const
    {
        return unsent_millionths_ / token_unit;
    }

private:
    void note_unsent(std::uint64_t millionths);

    workspace_limits& limits_;
    std::vector<proto::FleetDeputy> deputies_;
    std::uint64_t unsent_messages_ = 0;
    std::uint64_t unsent_millionths_ = 0;
};

} // namespace tanagerhoist

#endif

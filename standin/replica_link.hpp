#ifndef TANAGERHOIST_STANDIN_REPLICA_LINK_HPP
#define TANAGERHOIST_STANDIN_REPLICA_LINK_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <optional>

namespace tanagerhoist::standin
{

/// Replication progress of one replica, kept by the primary since its
/// promotion.
struct replica_link
{
    /// Next log position to send.
    std::uint64_t next = 1;
    /// Sequence number of the last message sent.
    std::uint64_t sequence = 0;
    /// Sequence number of the last message sent before `next` was last moved
    /// back. Mismatches up to it are already handled.
    std::uint64_t resend_after_sequence = 0;
    /// Time at which the last message was sent.
    std::optional<moment> sent;
    /// Time at which the last acknowledgement arrived.
    moment last_ack_at{};
    /// Time at which the last message known to be accepted was sent.
    moment last_accepted_sent_at{};
};

} // namespace tanagerhoist::standin

#endif

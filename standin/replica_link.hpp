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
    std::uint64_t next = 1;     ///< next log position to send
    std::uint64_t sequence = 0; ///< sequence number of the last message sent
    std::uint64_t resend_after_sequence =
        0;                          ///< last one sent before going back
    std::optional<moment> sent;     ///< last message sent
    moment last_ack_at{};           ///< arrival of the last acknowledgement
    moment last_accepted_sent_at{}; ///< sending of the last message known to be
                                    ///< accepted
};

} // namespace tanagerhoist::standin

#endif

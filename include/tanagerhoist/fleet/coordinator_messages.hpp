#ifndef TANAGERHOIST_FLEET_COORDINATOR_MESSAGES_HPP
#define TANAGERHOIST_FLEET_COORDINATOR_MESSAGES_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace tanagerhoist
{

/// Order of the messages between a VM and its coordinator. Datagrams may be
/// lost, repeated and reordered, and a coordinator that has lost its lease may
/// still send some.
class coordinator_messages
{
public:
    /// @param life random number of this process. The numbers of its messages
    ///   begin there, so that the answer to a report of a former process is not
    ///   taken for one to its own
    explicit coordinator_messages(std::uint64_t life = 0);

    /// Whether a view is newer than all messages before it. If so, it becomes
    /// the newest one, and its sender the coordinator.
    bool accept_view(moment now, std::uint64_t token, std::uint64_t sequence);

    /// Whether a reply with grants comes from the current coordinator and is
    /// newer than all messages before it.
    bool accept_grants(std::uint64_t token, std::uint64_t sequence);

    /// Whether a message comes from a former coordinator.
    bool is_outdated(std::uint64_t token) const { return token < token_; }

    /// Whether a message comes from a coordinator that this VM has not heard
    /// yet. It answers no request before it has a report of this VM.
    bool is_new_coordinator(std::uint64_t token) const
    {
        return token > token_;
    }

    /// Notes that a report is sent, and returns its sequence number.
    std::uint64_t record_report(moment now);

    /// Sequence number for a message that is not a report.
    std::uint64_t next_sequence() { return ++sent_sequence_; }

    /// When a report was sent; nullopt: unknown or long ago.
    std::optional<moment> report_sent_at(std::uint64_t sequence) const;

    std::uint64_t token() const { return token_; }
    std::uint64_t newest_view() const { return newest_view_; }

    /// When the last view arrived.
    moment last_contact() const { return last_contact_; }

private:
    std::uint64_t token_ = 0;       ///< of the current coordinator
    std::uint64_t newest_view_ = 0; ///< sequence of the last view
    std::uint64_t newest_ = 0;      ///< sequence of the last message received
    std::uint64_t sent_sequence_;
    moment last_contact_{};
    std::map<std::uint64_t, moment> reports_; ///< send time, by sequence
};

} // namespace tanagerhoist

#endif

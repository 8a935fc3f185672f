#ifndef TANAGERHOIST_RECORD_TIMELINE_HPP
#define TANAGERHOIST_RECORD_TIMELINE_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Events of several processes, merged into one order.
struct timeline
{
    std::vector<proto::Event> events;
    std::uint64_t dropped = 0; ///< events reported as lost
};

/// Conditions that an event must meet; an empty member matches every event.
struct event_filter
{
    std::string request;
    std::string session;
    std::string workspace;
    std::string database;
    std::optional<microseconds> from; ///< wall time since the epoch, inclusive
    std::optional<microseconds> to;   ///< wall time since the epoch, exclusive
};

/// Merges the events of all batches, sorted by hybrid time, then VM,
/// incarnation and sequence. A cause precedes its effect, however far the
/// clocks of the VMs differ. An event that occurs in several batches is kept
/// once.
timeline merge(const std::vector<proto::EventBatch>& batches);

/// Whether `event` meets all conditions of `filter`.
bool matches(const event_filter& filter, const proto::Event& event);

/// Returns the events that match `filter`, in their original order.
std::vector<proto::Event> select(const std::vector<proto::Event>& events,
                                 const event_filter& filter);

/// Formats `event` as one line of text, without a line break.
std::string to_text(const proto::Event& event);

/// Formats a wall time in UTC as ISO 8601 with milliseconds.
std::string to_text(microseconds wall);

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_RECORD_TIMELINE_HPP
#define TANAGERHOIST_RECORD_TIMELINE_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Events of several processes in one order.
struct timeline
{
    std::vector<proto::Event> events;
    std::uint64_t dropped = 0; ///< events known to be lost
};

/// Which events of a time line are wanted; an empty member admits all.
struct event_filter
{
    std::string request;
    std::string session;
    std::string workspace;
    std::string database;
    std::optional<microseconds> from; ///< wall time since the epoch, included
    std::optional<microseconds> to;   ///< the same, excluded
};

/// Brings the events of all batches into one order, by hybrid time, then VM,
/// incarnation and sequence: a cause stands before its effect however far the
/// VMs' clocks differ. An event that is in several batches stands once.
timeline merge(const std::vector<proto::EventBatch>& batches);

/// Whether `event` passes the filter.
bool matches(const event_filter& filter, const proto::Event& event);

/// The events that pass, in their order.
std::vector<proto::Event> select(const std::vector<proto::Event>& events,
                                 const event_filter& filter);

/// One line of text, without an end of line.
std::string to_text(const proto::Event& event);

/// Wall time in UTC with milliseconds.
std::string to_text(microseconds wall);

} // namespace tanagerhoist

#endif

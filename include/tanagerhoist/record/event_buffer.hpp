#ifndef TANAGERHOIST_RECORD_EVENT_BUFFER_HPP
#define TANAGERHOIST_RECORD_EVENT_BUFFER_HPP

#include "messages.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace tanagerhoist
{

/// Queue of events to be stored, with bounded memory. When it is full, the
/// oldest low-priority events are dropped first (see `is_low_priority`), then
/// the oldest of the others.
class event_buffer
{
public:
    /// @param limit bytes of serialized events, including per-entry overhead
    explicit event_buffer(std::size_t limit) : limit_(limit) {}

    /// Appends `event`. Events must be pushed in ascending sequence.
    /// @return number of events dropped to make room
    std::uint64_t push(const proto::Event& event);

    /// Removes and returns the oldest events, about `batch_bytes` bytes, in the
    /// order in which they were pushed.
    proto::EventBatch take(std::size_t batch_bytes);

    bool empty() const
    {
        return low_priority_.empty() && high_priority_.empty();
    }
    std::size_t bytes() const { return bytes_; }

private:
    struct buffered_event
    {
        std::uint64_t arrival; ///< counts pushed events from 0
        std::string event;     ///< serialized
    };

    buffered_event pop(std::deque<buffered_event>& queue);

    std::size_t limit_;
    std::size_t bytes_ = 0;
    std::uint64_t next_arrival_ = 0;
    std::uint64_t dropped_ = 0; ///< since the last batch
    std::deque<buffered_event> low_priority_;
    std::deque<buffered_event> high_priority_;
};

} // namespace tanagerhoist

#endif

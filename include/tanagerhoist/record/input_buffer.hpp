#ifndef TANAGERHOIST_RECORD_INPUT_BUFFER_HPP
#define TANAGERHOIST_RECORD_INPUT_BUFFER_HPP

#include "messages.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace tanagerhoist
{

/// Queue of inputs to be stored, with bounded memory. When it is full, new
/// inputs are dropped: a replay ends at the first gap, so the inputs before it
/// are the most useful.
class input_buffer
{
public:
    /// @param limit bytes of serialized entries, including per-entry overhead
    explicit input_buffer(std::size_t limit) : limit_(limit) {}

    /// Appends the next entry. If there is no room, the entry is dropped, but
    /// its index is still consumed.
    /// @return number of entries dropped, 0 or 1
    std::uint64_t push(const proto::RecordEntry& entry);

    /// Removes and returns the oldest entries, about `batch_bytes` bytes, up to
    /// the next gap.
    proto::RecordBatch take(std::size_t batch_bytes);

    bool empty() const { return entries_.empty(); }
    std::size_t bytes() const { return bytes_; }

private:
    struct buffered_entry
    {
        std::uint64_t index;
        std::string entry; ///< serialized
    };

    std::size_t limit_;
    std::size_t bytes_ = 0;
    std::uint64_t next_index_ = 0;
    std::uint64_t next_unread_index_ = 0;
    std::deque<buffered_entry> entries_;
};

} // namespace tanagerhoist

#endif

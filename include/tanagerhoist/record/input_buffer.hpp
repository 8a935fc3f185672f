#ifndef TANAGERHOIST_RECORD_INPUT_BUFFER_HPP
#define TANAGERHOIST_RECORD_INPUT_BUFFER_HPP

#include "messages.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace tanagerhoist
{

/// Inputs that wait to be stored, within a bound of memory. When it is full,
/// new ones are dropped: a replay ends at the first gap, so the part before
/// it is worth most.
class input_buffer
{
public:
    /// @param limit bytes of serialized entries, bookkeeping included
    explicit input_buffer(std::size_t limit) : limit_(limit) {}

    /// Adds the next entry, or drops it but counts its index.
    /// @return number of entries dropped, 0 or 1
    std::uint64_t push(const proto::RecordEntry& entry);

    /// Takes the oldest entries, about `batch_bytes`, up to the next gap.
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

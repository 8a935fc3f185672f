#include "tanagerhoist/record/input_buffer.hpp"

#include <utility>

namespace tanagerhoist
{
namespace
{

/// Memory in bytes counted for each entry besides its serialized form.
constexpr std::size_t entry_overhead = 64;

} // namespace

std::uint64_t input_buffer::push(const proto::RecordEntry& entry)
{
    const std::uint64_t index = next_index_++;
    std::string bytes = entry.SerializeAsString();
    const std::size_t size = bytes.size() + entry_overhead;
    if (bytes_ + size > limit_)
    {
        return 1;
    }
    bytes_ += size;
    entries_.push_back({index, std::move(bytes)});
    return 0;
}

proto::RecordBatch input_buffer::take(std::size_t batch_bytes)
{
    proto::RecordBatch batch;
    if (entries_.empty())
    {
        return batch;
    }
    std::uint64_t index = entries_.front().index;
    batch.set_first_index(index);
    batch.set_dropped(index - next_unread_index_);
    for (std::size_t taken = 0; taken < batch_bytes && !entries_.empty() &&
                                entries_.front().index == index;
         ++index)
    {
        const std::string& bytes = entries_.front().entry;
        batch.add_entry()->ParseFromString(bytes);
        taken += bytes.size();
        bytes_ -= bytes.size() + entry_overhead;
        entries_.pop_front();
    }
    next_unread_index_ = index;
    return batch;
}

} // namespace tanagerhoist

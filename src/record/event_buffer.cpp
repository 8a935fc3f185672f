#include "tanagerhoist/record/event_buffer.hpp"

#include "tanagerhoist/record/event_kind.hpp"

#include <utility>

namespace tanagerhoist
{
namespace
{

/// Memory in bytes counted for each event besides its serialized form.
constexpr std::size_t entry_overhead = 64;

} // namespace

std::uint64_t event_buffer::push(const proto::Event& event)
{
    auto& queue = is_low_priority(event) ? low_priority_ : high_priority_;
    queue.push_back({next_arrival_++, event.SerializeAsString()});
    bytes_ += queue.back().event.size() + entry_overhead;
    std::uint64_t dropped = 0;
    while (bytes_ > limit_)
    {
        pop(low_priority_.empty() ? high_priority_ : low_priority_);
        ++dropped;
    }
    dropped_ += dropped;
    return dropped;
}

event_buffer::buffered_event
event_buffer::pop(std::deque<buffered_event>& queue)
{
    buffered_event first = std::move(queue.front());
    queue.pop_front();
    bytes_ -= first.event.size() + entry_overhead;
    return first;
}

proto::EventBatch event_buffer::take(std::size_t batch_bytes)
{
    proto::EventBatch batch;
    batch.set_dropped(std::exchange(dropped_, 0));
    for (std::size_t taken = 0; taken < batch_bytes && !empty();)
    {
        const bool high_priority_first =
            low_priority_.empty() ||
            (!high_priority_.empty() &&
             high_priority_.front().arrival < low_priority_.front().arrival);
        const buffered_event first =
            pop(high_priority_first ? high_priority_ : low_priority_);
        taken += first.event.size();
        batch.add_event()->ParseFromString(first.event);
    }
    return batch;
}

} // namespace tanagerhoist

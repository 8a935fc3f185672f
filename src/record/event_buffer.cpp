#include "tanagerhoist/record/event_buffer.hpp"

#include "tanagerhoist/record/event_kind.hpp"

#include <utility>

namespace tanagerhoist
{
namespace
{

/// Bytes of bookkeeping counted for each event.
constexpr std::size_t entry_overhead = 64;

} // namespace

std::uint64_t event_buffer::push(const proto::Event& event)
{
    auto& line = is_expendable(event) ? expendable_ : lasting_;
    line.push_back({next_place_++, event.SerializeAsString()});
    bytes_ += line.back().event.size() + entry_overhead;
    std::uint64_t lost = 0;
    while (bytes_ > limit_)
    {
        pop(expendable_.empty() ? lasting_ : expendable_);
        ++lost;
    }
    dropped_ += lost;
    return lost;
}

event_buffer::held event_buffer::pop(std::deque<held>& line)
{
    held first = std::move(line.front());
    line.pop_front();
    bytes_ -= first.event.size() + entry_overhead;
    return first;
}

proto::EventBatch event_buffer::take(std::size_t batch_bytes)
{
    proto::EventBatch batch;
    batch.set_dropped(std::exchange(dropped_, 0));
    for (std::size_t taken = 0; taken < batch_bytes && !empty();)
    {
        const bool lasting_first =
            expendable_.empty() ||
            (!lasting_.empty() &&
             lasting_.front().place < expendable_.front().place);
        const held first = pop(lasting_first ? lasting_ : expendable_);
        taken += first.event.size();
        batch.add_event()->ParseFromString(first.event);
    }
    return batch;
}

} // namespace tanagerhoist

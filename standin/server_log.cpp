#include "standin/server_log.hpp"

#include "tanagerhoist/core/log_point.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist::standin
{

void server_log::append(proto::standin::LogEntry entry)
{
    std::vector<previous_value> undo;
    for (const auto& change : entry.change())
    {
        const auto [it, added] =
            store_.try_emplace(change.key(), change.value());
        undo.push_back({change.key(), std::nullopt});
        if (!added)
        {
            undo.back().value = std::exchange(it->second, change.value());
        }
    }
    if (!entry.request_id().empty())
    {
        request_ids_.emplace(entry.request_id(), size() + 1);
    }
    records_.push_back({std::move(entry), std::move(undo)});
}

void server_log::truncate(std::uint64_t position)
{
    while (size() > position)
    {
        remove_last();
    }
}

void server_log::remove_last()
{
    auto& last = records_.back();
    for (auto it = last.undo.rbegin(); it != last.undo.rend(); ++it)
    {
        if (it->value)
        {
            store_[it->key] = std::move(*it->value);
        }
        else
        {
            store_.erase(it->key);
        }
    }
    const auto found = request_ids_.find(last.entry.request_id());
    if (found != request_ids_.end() && found->second == size())
    {
        request_ids_.erase(found);
    }
    records_.pop_back();
}

bool server_log::holds(const proto::LogPoint& point) const
{
    return point.position() == 0 ||
           (point.position() <= size() &&
            at(point.position()).point().term() == point.term());
}

proto::LogPoint server_log::last() const
{
    return point_at(size());
}

proto::LogPoint server_log::point_at(std::uint64_t position) const
{
    return position == 0 ? proto::LogPoint() : at(position).point();
}

std::uint64_t server_log::first_position_of_term(std::uint64_t term) const
{
    const auto found =
        std::partition_point(records_.begin(), records_.end(),
                             [term](const record& held)
                             { return held.entry.point().term() < term; });
    return static_cast<std::uint64_t>(found - records_.begin()) + 1;
}

const proto::standin::LogEntry*
server_log::find(const std::string& request_id) const
{
    const auto found = request_ids_.find(request_id);
    return found == request_ids_.end() ? nullptr : &at(found->second);
}

const proto::standin::LogEntry& server_log::at(std::uint64_t position) const
{
    return records_[position - 1].entry;
}

} // namespace tanagerhoist::standin

#include "tanagerhoist/decision/fair_queue.hpp"

#include <algorithm>

namespace tanagerhoist
{

fair_queue::fair_queue(fair_queue_options options) : options_(options)
{
    for (lane& each : lanes_)
    {
        each.order = options_.order();
    }
}

result_code fair_queue::push(moment now, const queued& request)
{
    if (request.deadline <= now)
    {
        return result_code::deadline_too_short;
    }
    set_aside_expired(now);
    lane& into = lane_of(request);
    const auto held = into.per_workspace.find(request.workspace);
    if (held != into.per_workspace.end() &&
        held->second >= options_.workspace_capacity)
    {
        return result_code::queue_full;
    }
    if (!meets_deadline(now, request))
    {
        return result_code::deadline_too_short;
    }
    into.order->push(request);
    ++into.per_workspace[request.workspace];
    deadlines_.emplace(request.deadline, request.id);
    waiting_.emplace(request.id, request);
    return result_code::ok;
}

std::optional<std::uint64_t> fair_queue::pop(moment now)
{
    set_aside_expired(now);
    lane& from = next_lane();
    const auto id = from.order->pop();
    if (!id)
    {
        return std::nullopt;
    }
    const auto entry = waiting_.find(*id);
    untrack(entry->second);
    waiting_.erase(entry);
    return id;
}

bool fair_queue::erase(std::uint64_t id)
{
    const auto entry = waiting_.find(id);
    if (entry == waiting_.end())
    {
        return false;
    }
    const queued& request = entry->second;
    if (expired_.erase({request.deadline, id}) == 0)
    {
        lane_of(request).order->erase(request);
        untrack(request);
    }
    waiting_.erase(entry);
    return true;
}

std::vector<std::uint64_t> fair_queue::expire(moment now)
{
    set_aside_expired(now);
    std::vector<std::uint64_t> ids;
    ids.reserve(expired_.size());
    for (const auto& due : expired_)
    {
        ids.push_back(due.second);
        waiting_.erase(due.second);
    }
    expired_.clear();
    return ids;
}

void fair_queue::finished(moment now, microseconds service_time)
{
    rate_.completed(now, service_time);
    if (deadlines_.empty())
    {
        rate_.ran_empty();
    }
}

std::optional<moment> fair_queue::next_deadline() const
{
    if (!expired_.empty())
    {
        return expired_.begin()->first;
    }
    if (!deadlines_.empty())
    {
        return deadlines_.begin()->first;
    }
    return std::nullopt;
}

bool fair_queue::meets_deadline(moment now, const queued& request) const
{
    // `ahead_of` is expensive, so it runs only if the whole queue could not be
    // served in time.
    const microseconds left = request.deadline - now;
    const auto at_worst = rate_.estimated_answer_time(deadlines_.size());
    if (!at_worst || *at_worst <= left)
    {
        return true;
    }
    const std::size_t ahead = ahead_of(request);
    return ahead == 0 || *rate_.estimated_answer_time(ahead) <= left;
}

std::size_t fair_queue::ahead_of(const queued& request) const
{
    const lane& others = lanes_[0];
    const lane& emergencies = lanes_[1];
    if (request.emergency)
    {
        return emergencies.order->ahead_of(request);
    }
    const std::size_t ahead = others.order->ahead_of(request);
    const std::size_t most = (ahead + 1) * options_.max_consecutive_emergencies;
    return ahead + std::min(emergencies.order->size(), most);
}

fair_queue::lane& fair_queue::next_lane()
{
    lane& others = lanes_[0];
    lane& emergencies = lanes_[1];
    if (others.order->size() == 0)
    {
        consecutive_emergencies_ = 0;
        return emergencies;
    }
    if (emergencies.order->size() == 0 ||
        consecutive_emergencies_ >= options_.max_consecutive_emergencies)
    {
        consecutive_emergencies_ = 0;
        return others;
    }
    ++consecutive_emergencies_;
    return emergencies;
}

void fair_queue::untrack(const queued& request)
{
    auto& held = lane_of(request).per_workspace;
    const auto count = held.find(request.workspace);
    if (--count->second == 0)
    {
        held.erase(count);
    }
    deadlines_.erase({request.deadline, request.id});
    if (deadlines_.empty())
    {
        rate_.ran_empty();
    }
}

void fair_queue::set_aside_expired(moment now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const auto due = *deadlines_.begin();
        const queued& request = waiting_.at(due.second);
        lane_of(request).order->erase(request);
        untrack(request);
        expired_.insert(due);
    }
}

} // namespace tanagerhoist

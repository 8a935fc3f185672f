#include "tanagerhoist/session/proxy.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

// Construction, look-ups and state of a proxy.
namespace tanagerhoist
{
namespace
{

/// Longer than a change of the coordinator takes.
constexpr milliseconds isolated_after{4500};

} // namespace

proxy::proxy(std::string data_centre, region_map regions,
             workspace_limits limits, proxy_transport& transport,
             structured_log& log, std::size_t max_state_at_servers,
             placement_cost cost)
    : data_centre_(std::move(data_centre)),
      regions_(std::move(regions)),
      transport_(transport),
      log_(log),
      placement_cost_(cost),
      max_state_at_servers_(max_state_at_servers),
      limits_(std::move(limits))
{
}

proxy::~proxy() = default;

server_state* proxy::find_server(const std::string& id)
{
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
}

const server_state* proxy::server(const std::string& id) const
{
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
}

const proto::GroupLead* proxy::lead_of(const std::string& group) const
{
    const auto it = leads_.find(group);
    return it == leads_.end() ? nullptr : &it->second;
}

std::size_t proxy::waiting() const
{
    return std::accumulate(groups_.begin(), groups_.end(), std::size_t{0},
                           [](std::size_t sum, const auto& entry)
                           { return sum + entry.second.waiting.size(); });
}

bool proxy::has_work() const
{
    return std::any_of(sessions_.begin(), sessions_.end(),
                       [](const auto& entry)
                       { return !entry.second.is_idle(); });
}

bool proxy::is_isolated(moment now) const
{
    return members_ > small_fleet && coordinator_heard_ != moment{} &&
           now >= std::max(coordinator_heard_, grants_heard_) + isolated_after;
}

bool proxy::is_ready(moment now) const
{
    if (!settings_ || drain_ || !primary_lease_.is_valid(now) ||
        is_isolated(now))
    {
        return false;
    }
    return std::all_of(settings_->groups.begin(), settings_->groups.end(),
                       [this](const auto& group)
                       { return lead_of(group.first) != nullptr; });
}

} // namespace tanagerhoist

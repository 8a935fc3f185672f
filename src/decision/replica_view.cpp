#include "tanagerhoist/decision/replica_view.hpp"

#include "tanagerhoist/core/log_point.hpp"

#include <algorithm>

namespace tanagerhoist
{

replica_view::replica_view(replica_view_options options) : options_(options) {}

void replica_view::observed(moment now, const std::string& server,
                            const proto::LogPoint& point, microseconds age)
{
    auto& entry = servers_[server];
    if (!entry.known || covers(point, entry.point))
    {
        entry.point = point;
    }
    entry.age = age;
    entry.seen = now;
    entry.known = true;
    entry.avoid_until = moment();
}

void replica_view::failed(moment now, const std::string& server)
{
    servers_[server].avoid_until = now + options_.avoid_failed;
}

std::vector<std::string>
replica_view::candidates(moment now, const std::vector<std::string>& servers,
                         const std::string& primary,
                         const proto::LogPoint& token, bool has_token,
                         milliseconds tolerated_age) const
{
    std::vector<std::string> chosen;
    for (const auto& server : servers)
    {
        const auto found = servers_.find(server);
        const bool known = found != servers_.end() && found->second.known;
        const bool avoid =
            found != servers_.end() && now < found->second.avoid_until;
        const bool fresh =
            !has_token || (known && covers(found->second.point, token));
        const bool bounded = has_token || tolerated_age.count() > 0;
        if (server != primary && fresh && bounded && !avoid)
        {
            chosen.push_back(server);
        }
    }
    if (!chosen.empty())
    {
        const auto shift = static_cast<std::ptrdiff_t>(turn_++ % chosen.size());
        std::rotate(chosen.begin(), chosen.begin() + shift, chosen.end());
    }
    if (!primary.empty())
    {
        chosen.push_back(primary);
    }
    return chosen;
}

} // namespace tanagerhoist

#include "tanagerhoist/decision/replica_view.hpp"

#include "tanagerhoist/core/log_point.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{

replica_view::replica_view(replica_view_options options) : options_(options) {}

void replica_view::observed(moment now, const std::string& server,
                            const proto::LogPoint& point, microseconds age)
{
    auto& entry = servers_[server];
    // Answers may arrive out of order; the end of a log moves back only with a
    // new term.
    if (!entry.known || covers(point, entry.point))
    {
        entry.point = point;
    }
    entry.known = true;
    entry.age = age;
    entry.seen = now;
    entry.avoid_until = moment();
    auto& history = entry.history;
    if (history.empty() || now - history.back().at >= options_.history_step)
    {
        history.push_back({now, entry.point});
    }
    if (history.size() > options_.history)
    {
        history.pop_front();
    }
}

void replica_view::failed(moment now, const std::string& server)
{
    servers_[server].avoid_until = now + options_.failure_backoff;
}

moment replica_view::latest_write_time(moment now, const std::string& primary,
                                       const proto::LogPoint& token) const
{
    const auto found = servers_.find(primary);
    if (found != servers_.end())
    {
        for (const auto& each : found->second.history)
        {
            if (covers(each.point, token))
            {
                return each.at;
            }
        }
    }
    return now;
}

std::optional<microseconds>
replica_view::expected_wait(moment now, const std::string& server,
                            const std::string& primary,
                            const proto::LogPoint& token) const
{
    const auto found = servers_.find(server);
    if (token.term() == 0 ||
        (found != servers_.end() && covers(found->second.point, token)))
    {
        return microseconds::zero();
    }
    if (found == servers_.end() || !found->second.known)
    {
        return std::nullopt;
    }
    const moment held =
        latest_write_time(now, primary, token) + found->second.age;
    return std::max(held - now, microseconds::zero());
}

std::optional<microseconds> replica_view::wait_for(moment now,
                                                   const std::string& server,
                                                   const std::string& primary,
                                                   const proto::LogPoint& token,
                                                   milliseconds tolerated_age)
{
    auto& entry = servers_[server];
    if (now < entry.avoid_until)
    {
        return std::nullopt;
    }
    const auto wait = expected_wait(now, server, primary, token);
    const bool aged = tolerated_age > milliseconds::zero() &&
                      (!entry.known || entry.age > tolerated_age);
    if (wait && *wait <= options_.longest_wait && !aged)
    {
        return wait;
    }
    const bool unobserved =
        !entry.known || now - entry.seen >= options_.explore_interval;
    const bool untried = entry.last_explored == moment() ||
                         now - entry.last_explored >= options_.explore_interval;
    if (unobserved && untried)
    {
        entry.last_explored = now;
        return microseconds::zero();
    }
    return std::nullopt;
}

std::vector<std::string>
replica_view::candidates(moment now, const std::vector<std::string>& servers,
                         const std::string& primary,
                         const proto::LogPoint& token, bool has_token,
                         milliseconds tolerated_age)
{
    using choice = std::pair<microseconds, std::string>;
    std::vector<choice> choices;
    for (const auto& server : servers)
    {
        if (!has_token || server == primary)
        {
            continue;
        }
        const auto wait = wait_for(now, server, primary, token, tolerated_age);
        if (wait)
        {
            choices.emplace_back(*wait, server);
        }
    }
    if (!choices.empty())
    {
        const auto shift =
            static_cast<std::ptrdiff_t>(rotation_++ % choices.size());
        std::rotate(choices.begin(), choices.begin() + shift, choices.end());
    }
    std::stable_sort(choices.begin(), choices.end(),
                     [](const choice& a, const choice& b)
                     { return a.first < b.first; });
    std::vector<std::string> names;
    names.reserve(choices.size() + 1);
    for (auto& [wait, server] : choices)
    {
        names.push_back(std::move(server));
    }
    if (!primary.empty())
    {
        names.push_back(primary);
    }
    return names;
}

} // namespace tanagerhoist

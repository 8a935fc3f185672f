#include "tanagerhoist/decision/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{

connection_pool::connection_pool(connection_pool_options options)
    : options_(options)
{
}

void connection_pool::use_settings(const proto::Settings& settings, outbox& out)
{
    std::set<std::string> leaving;
    for (const auto& database : settings.database())
    {
        if (database.leaving() == "yes")
        {
            leaving.insert(database.name());
        }
    }
    std::set<std::string> serving;
    for (const auto& server : settings.server())
    {
        if (leaving.count(server.database()) == 0)
        {
            serving.insert(server.name());
            pools_[server.name()].serving = true;
        }
    }
    for (auto it = pools_.begin(); it != pools_.end();)
    {
        if (serving.count(it->first) == 0)
        {
            it->second.drain();
        }
        close_excess(it->second, out);
        it = it->second.size() == 0 && !it->second.serving ? pools_.erase(it)
                                                           : std::next(it);
    }
}

void connection_pool::limit(const std::string& server,
                            std::uint64_t connections, outbox& out)
{
    const auto entry = pools_.find(server);
    if (entry == pools_.end() || !entry->second.serving)
    {
        return;
    }
    pool& target = entry->second;
    target.limit = connections;
    close_excess(target, out);
}

void connection_pool::waiting(moment now, const std::string& server,
                              std::uint64_t requests, outbox& out)
{
    pools_[server].waiting = requests;
    if (requests > 0)
    {
        active_.insert(server);
    }
    open_for_demand(now, server, out);
}

std::optional<std::uint64_t>
connection_pool::acquire(moment now, const std::string& server, outbox& out)
{
    pool& target = pools_[server];
    active_.insert(server);
    if (target.idle.empty())
    {
        target.acquire_failed = true;
        starved_servers_.insert(server);
        open_for_demand(now, server, out);
        return std::nullopt;
    }
    const auto last = std::prev(target.idle.end());
    const std::uint64_t id = last->second;
    target.idle.erase(last);
    target.busy.insert(id);
    target.acquire_failed = false;
    connections_[id].state = state::busy;
    return id;
}

void connection_pool::release(moment now, std::uint64_t connection, bool clean,
                              outbox& out)
{
    const auto entry = connections_.find(connection);
    if (entry == connections_.end() || entry->second.state != state::busy)
    {
        return;
    }
    const std::string server = entry->second.server;
    pool& target = pools_[server];
    if (!clean || target.size() > target.limit)
    {
        close(target, connection, out);
        open_for_demand(now, server, out);
        return;
    }
    target.busy.erase(connection);
    target.idle.emplace(now, connection);
    entry->second.state = state::idle;
    entry->second.idle_since = now;
}

void connection_pool::on_opened(moment now, std::uint64_t connection)
{
    const auto entry = connections_.find(connection);
    if (entry == connections_.end() || entry->second.state != state::opening)
    {
        return;
    }
    pool& target = pools_[entry->second.server];
    target.failures = 0;
    target.acquire_failed = false;
    target.opening.erase(connection);
    target.idle.emplace(now, connection);
    entry->second.state = state::idle;
    entry->second.idle_since = now;
}

void connection_pool::on_closed(moment now, std::uint64_t connection,
                                outbox& out)
{
    const auto entry = connections_.find(connection);
    if (entry == connections_.end())
    {
        return;
    }
    const std::string server = entry->second.server;
    pool& target = pools_[server];
    if (entry->second.state == state::opening)
    {
        ++target.failures;
        target.acquire_failed = false;
        target.open_after = now + backoff_after(target.failures);
    }
    remove(target, connection);
    open_for_demand(now, server, out);
}

std::uint64_t connection_pool::open(const std::string& server) const
{
    const auto target = pools_.find(server);
    return target == pools_.end() ? 0 : target->second.size();
}

std::uint64_t connection_pool::busy(const std::string& server) const
{
    const auto target = pools_.find(server);
    return target == pools_.end() ? 0 : target->second.busy.size();
}

std::uint64_t connection_pool::wanted(const std::string& server) const
{
    const auto target = pools_.find(server);
    if (target == pools_.end() || !target->second.serving)
    {
        return 0;
    }
    return std::max(options_.floor,
                    target->second.busy.size() + target->second.demand());
}

void connection_pool::on_tick(moment now, outbox& out)
{
    for (auto it = active_.begin(); it != active_.end();)
    {
        const std::string server = *it;
        pool& target = pools_[server];
        while (!target.idle.empty() && target.size() > options_.floor &&
               target.idle.begin()->first + options_.idle_time <= now)
        {
            close(target, target.idle.begin()->second, out);
        }
        open_for_demand(now, server, out);
        const bool is_unused = target.size() == 0 && target.demand() == 0;
        it = is_unused ? active_.erase(it) : std::next(it);
    }
}

std::set<std::string> connection_pool::take_starved_servers()
{
    return std::exchange(starved_servers_, {});
}

void connection_pool::open_for_demand(moment now, const std::string& server,
                                      outbox& out)
{
    pool& target = pools_[server];
    if (!target.serving || now < target.open_after)
    {
        return;
    }
    // After a failure, opens one connection at a time until one succeeds.
    const std::uint64_t most = target.failures > 0
                                   ? std::min<std::uint64_t>(target.demand(), 1)
                                   : target.demand();
    while (target.size() < target.limit &&
           target.opening.size() + target.idle.size() < most)
    {
        const std::uint64_t id = next_id_++;
        target.opening.insert(id);
        connections_.emplace(id, connection{server, state::opening, now});
        proto::Action action;
        action.mutable_open_connection()->set_connection(id);
        action.mutable_open_connection()->set_server(server);
        out.add(std::move(action));
    }
}

void connection_pool::close_excess(pool& target, outbox& out)
{
    while (target.size() > target.limit && !target.opening.empty())
    {
        close(target, *target.opening.rbegin(), out);
    }
    while (target.size() > target.limit && !target.idle.empty())
    {
        close(target, target.idle.begin()->second, out);
    }
}

void connection_pool::close(pool& target, std::uint64_t id, outbox& out)
{
    remove(target, id);
    proto::Action action;
    action.mutable_close_connection()->set_connection(id);
    out.add(std::move(action));
}

void connection_pool::remove(pool& target, std::uint64_t id)
{
    const auto entry = connections_.find(id);
    target.opening.erase(id);
    target.busy.erase(id);
    target.idle.erase({entry->second.idle_since, id});
    connections_.erase(entry);
}

microseconds connection_pool::backoff_after(std::uint64_t failures) const
{
    microseconds wait = options_.initial_backoff;
    for (std::uint64_t i = 1; i < failures && wait < options_.max_backoff; ++i)
    {
        wait *= 2;
    }
    return std::min<microseconds>(wait, options_.max_backoff);
}

} // namespace tanagerhoist

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
    pool& of = entry->second;
    of.limit = connections;
    close_excess(of, out);
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
    pool& of = pools_[server];
    active_.insert(server);
    if (of.idle.empty())
    {
        of.missed = true;
        pressed_.insert(server);
        open_for_demand(now, server, out);
        return std::nullopt;
    }
    const auto last = std::prev(of.idle.end());
    const std::uint64_t id = last->second;
    of.idle.erase(last);
    of.busy.insert(id);
    of.missed = false;
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
    pool& of = pools_[server];
    if (!clean || of.size() > of.limit)
    {
        close(of, connection, out);
        open_for_demand(now, server, out);
        return;
    }
    of.busy.erase(connection);
    of.idle.emplace(now, connection);
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
    pool& of = pools_[entry->second.server];
    of.failures = 0;
    of.missed = false;
    of.opening.erase(connection);
    of.idle.emplace(now, connection);
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
    pool& of = pools_[server];
    if (entry->second.state == state::opening)
    {
        ++of.failures;
        of.missed = false;
        of.open_after = now + back_off(of.failures);
    }
    remove(of, connection);
    open_for_demand(now, server, out);
}

std::uint64_t connection_pool::open(const std::string& server) const
{
    const auto of = pools_.find(server);
    return of == pools_.end() ? 0 : of->second.size();
}

std::uint64_t connection_pool::busy(const std::string& server) const
{
    const auto of = pools_.find(server);
    return of == pools_.end() ? 0 : of->second.busy.size();
}

std::uint64_t connection_pool::wanted(const std::string& server) const
{
    const auto of = pools_.find(server);
    if (of == pools_.end() || !of->second.serving)
    {
        return 0;
    }
    return std::max(options_.floor,
                    of->second.busy.size() + of->second.demand());
}

void connection_pool::on_tick(moment now, outbox& out)
{
    for (auto it = active_.begin(); it != active_.end();)
    {
        const std::string server = *it;
        pool& of = pools_[server];
        while (!of.idle.empty() && of.size() > options_.floor &&
               of.idle.begin()->first + options_.idle_time <= now)
        {
            close(of, of.idle.begin()->second, out);
        }
        open_for_demand(now, server, out);
        const bool quiet = of.size() == 0 && of.demand() == 0;
        it = quiet ? active_.erase(it) : std::next(it);
    }
}

std::set<std::string> connection_pool::take_pressed()
{
    return std::exchange(pressed_, {});
}

void connection_pool::open_for_demand(moment now, const std::string& server,
                                      outbox& out)
{
    pool& of = pools_[server];
    if (!of.serving || now < of.open_after)
    {
        return;
    }
    // After a failure one attempt at a time tells whether the server is back.
    const std::uint64_t most =
        of.failures > 0 ? std::min<std::uint64_t>(of.demand(), 1) : of.demand();
    while (of.size() < of.limit && of.opening.size() + of.idle.size() < most)
    {
        const std::uint64_t id = next_id_++;
        of.opening.insert(id);
        connections_.emplace(id, connection{server, state::opening, now});
        proto::Action action;
        action.mutable_open_connection()->set_connection(id);
        action.mutable_open_connection()->set_server(server);
        out.add(std::move(action));
    }
}

void connection_pool::close_excess(pool& of, outbox& out)
{
    while (of.size() > of.limit && !of.opening.empty())
    {
        close(of, *of.opening.rbegin(), out);
    }
    while (of.size() > of.limit && !of.idle.empty())
    {
        close(of, of.idle.begin()->second, out);
    }
}

void connection_pool::close(pool& of, std::uint64_t id, outbox& out)
{
    remove(of, id);
    proto::Action action;
    action.mutable_close_connection()->set_connection(id);
    out.add(std::move(action));
}

void connection_pool::remove(pool& of, std::uint64_t id)
{
    const auto entry = connections_.find(id);
    of.opening.erase(id);
    of.busy.erase(id);
    of.idle.erase({entry->second.idle_since, id});
    connections_.erase(entry);
}

microseconds connection_pool::back_off(std::uint64_t failures) const
{
    microseconds wait = options_.first_back_off;
    for (std::uint64_t i = 1; i < failures && wait < options_.longest_back_off;
         ++i)
    {
        wait *= 2;
    }
    return std::min<microseconds>(wait, options_.longest_back_off);
}

} // namespace tanagerhoist

#include "standin/database_group.hpp"

#include <utility>

namespace tanagerhoist::standin
{

database_group::database_group(moment now, std::vector<std::string> servers)
    : names_(std::move(servers))
{
    constexpr std::uint64_t first_term = 1;
    proto::DatabaseCall seal;
    seal.mutable_seal()->set_term(first_term);
    for (const auto& name : names_)
    {
        auto& server = servers_.try_emplace(name, name, names_).first->second;
        server.restart(now);
        server.handle(now, 0, seal);
    }
    proto::DatabaseCall promote;
    promote.mutable_promote()->set_term(first_term);
    server(names_.front()).handle(now, 0, promote);
    advance(now);
}

std::optional<proto::DatabaseReply>
database_group::handle(moment now, const std::string& server,
                       std::uint64_t connection,
                       const proto::DatabaseCall& call)
{
    if (!responds(server))
    {
        return std::nullopt;
    }
    return this->server(server).handle(now, connection, call);
}

void database_group::connection_closed(const std::string& server,
                                       std::uint64_t connection)
{
    this->server(server).connection_closed(connection);
}

void database_group::advance(moment now)
{
    for (auto& [name, server] : servers_)
    {
        if (!responds(name))
        {
            continue;
        }
        server.advance(now);
        for (const auto& other : names_)
        {
            send_all(now, server, other);
        }
    }
}

void database_group::send_all(moment now, database_server& from,
                              const std::string& to)
{
    while (auto message = from.next_message_for(to, now))
    {
        if (reachable(from.name(), to))
        {
            const auto lag = lags_[{from.name(), to}];
            from.acknowledged(now, server(to).receive(now, *message, lag));
        }
    }
}

void database_group::set_lag(const std::string& from, const std::string& to,
                             milliseconds lag)
{
    lags_[{from, to}] = lag;
}

void database_group::set_lag(milliseconds lag)
{
    for (const auto& from : names_)
    {
        for (const auto& to : names_)
        {
            set_lag(from, to, lag);
        }
    }
}

void database_group::cut(const std::string& one, const std::string& other)
{
    cuts_.insert({one, other});
    cuts_.insert({other, one});
}

void database_group::isolate(const std::string& server)
{
    for (const auto& other : names_)
    {
        if (other != server)
        {
            cut(server, other);
        }
    }
}

void database_group::heal(const std::string& one, const std::string& other)
{
    cuts_.erase({one, other});
    cuts_.erase({other, one});
}

void database_group::heal()
{
    cuts_.clear();
}

void database_group::kill(moment now, const std::string& server)
{
    this->server(server).restart(now);
    dead_.insert(server);
}

void database_group::restart(moment now, const std::string& server)
{
    this->server(server).restart(now);
    dead_.erase(server);
}

void database_group::set_frozen(const std::string& server, bool frozen)
{
    if (frozen)
    {
        frozen_.insert(server);
    }
    else
    {
        frozen_.erase(server);
    }
}

database_server& database_group::server(const std::string& name)
{
    return servers_.at(name);
}

bool database_group::responds(const std::string& server) const
{
    return dead_.count(server) == 0 && frozen_.count(server) == 0;
}

bool database_group::reachable(const std::string& from,
                               const std::string& to) const
{
    return responds(from) && responds(to) && cuts_.count({from, to}) == 0;
}

} // namespace tanagerhoist::standin

#ifndef TANAGERHOIST_FUZZ_POOL_ORACLE_HPP
#define TANAGERHOIST_FUZZ_POOL_ORACLE_HPP

// Reference model of the connection pool, built on plain maps.

#include "fuzz/random_command.hpp"
#include "tanagerhoist/decision/connection_pool.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist::fuzz
{

class pool_oracle
{
public:
    void run(const command& c)
    {
        (this->*steps[c.kind])(c);
        take_actions();
        for (const auto& server : server_names)
        {
            check(server);
        }
    }

    /// Releases all connections in use and checks the result.
    void drain()
    {
        while (choose(state::owned, 0) != 0)
        {
            release({0, 0, 1});
        }
        run({static_cast<std::uint32_t>(kinds - 1), 0, 0});
    }

    static constexpr std::uint32_t kinds = 10;

private:
    enum class state
    {
        opening,
        idle,
        owned,
        closed
    };

    struct tracked_connection
    {
        std::string server;
        pool_oracle::state state = state::opening;
    };

    std::uint64_t count(const std::string& server, state wanted) const
    {
        std::uint64_t n = 0;
        for (const auto& [id, each] : connections_)
        {
            n += each.server == server && each.state == wanted ? 1 : 0;
        }
        return n;
    }

    /// Returns a connection in state `wanted`, selected by `pick`; 0 if none.
    std::uint64_t choose(state wanted, std::uint32_t pick) const
    {
        std::vector<std::uint64_t> ids;
        for (const auto& [id, each] : connections_)
        {
            if (each.state == wanted)
            {
                ids.push_back(id);
            }
        }
        return ids.empty() ? 0 : ids[pick % ids.size()];
    }

    void take_actions()
    {
        for (const auto& action : out_.take_actions())
        {
            if (action.has_open_connection())
            {
                const auto& open = action.open_connection();
                RC_ASSERT(connections_.count(open.connection()) == 0U);
                RC_ASSERT(now_ >= open_after_[open.server()]);
                RC_ASSERT(serving_.count(open.server()) == 1U);
                connections_[open.connection()].server = open.server();
                continue;
            }
            const std::uint64_t id = action.close_connection().connection();
            RC_ASSERT(connections_.at(id).state != state::owned);
            RC_ASSERT(connections_.at(id).state != state::closed);
            connections_.at(id).state = state::closed;
        }
    }

    void check(const std::string& server)
    {
        const std::uint64_t owned = count(server, state::owned);
        const std::uint64_t open =
            owned + count(server, state::idle) + count(server, state::opening);
        const std::uint64_t limit =
            serving_.count(server) == 0 ? 0 : limits_[server];
        RC_ASSERT(open <= std::max(limit, owned));
        RC_ASSERT(pool_.open(server) == open);
        RC_ASSERT(pool_.busy(server) == owned);
    }

    void acquire(const command& c)
    {
        const std::string server = server_names[c.a % 3];
        const bool can =
            serving_.count(server) == 1 && count(server, state::idle) > 0;
        const auto id = pool_.acquire(now_, server, out_);
        RC_ASSERT(id.has_value() == can);
        if (id)
        {
            RC_ASSERT(connections_.at(*id).state == state::idle);
            RC_ASSERT(connections_.at(*id).server == server);
            connections_.at(*id).state = state::owned;
        }
    }

    void release(const command& c)
    {
        const std::uint64_t id = choose(state::owned, c.a);
        if (id == 0)
        {
            return;
        }
        const bool clean = c.b % 4 != 0;
        connections_[id].state = state::idle;
        pool_.release(now_, id, clean, out_);
        take_actions();
        RC_ASSERT(clean || connections_[id].state == state::closed);
    }

    void release_again(const command& c)
    {
        const std::uint64_t id =
            choose(c.b % 2 == 0 ? state::idle : state::closed, c.a);
        pool_.release(now_, id, true, out_);
    }

    void opened(const command& c)
    {
        const std::uint64_t id = choose(state::opening, c.a);
        if (id != 0)
        {
            connections_[id].state = state::idle;
            pool_.on_opened(now_, id);
        }
    }

    void event_after_close(const command& c)
    {
        pool_.on_opened(now_, choose(state::closed, c.a));
        pool_.on_closed(now_, choose(state::closed, c.b), out_);
    }

    void fail(const command& c)
    {
        const state which[] = {state::opening, state::idle, state::owned};
        const std::uint64_t id = choose(which[c.b % 3], c.a);
        if (id == 0)
        {
            return;
        }
        if (connections_[id].state == state::opening)
        {
            open_after_[connections_[id].server] = now_ + milliseconds(50);
        }
        connections_[id].state = state::closed;
        pool_.on_closed(now_, id, out_);
    }

    void limit(const command& c)
    {
        if (serving_.count(server_names[c.a % 3]) == 1)
        {
            limits_[server_names[c.a % 3]] = c.b % 6;
        }
        pool_.limit(server_names[c.a % 3], c.b % 6, out_);
    }

    void waiting(const command& c)
    {
        const std::string server = server_names[c.a % 3];
        pool_.waiting(now_, server, c.b % 4, out_);
        take_actions();
        if (c.b % 4 > 0 && serving_.count(server) == 1 &&
            open_after_.count(server) == 0)
        {
            RC_ASSERT(pool_.open(server) >= limits_[server] ||
                      count(server, state::idle) +
                              count(server, state::opening) >=
                          c.b % 4);
        }
    }

    void settings(const command& c)
    {
        proto::Settings settings;
        settings.add_database()->set_name("d");
        settings.mutable_database(0)->set_leaving(c.b % 8 == 0 ? "yes" : "no");
        serving_.clear();
        for (std::uint32_t i = 0; i < 3; ++i)
        {
            if ((c.a >> i) % 2 == 1 || c.b % 3 != 0)
            {
                auto& server = *settings.add_server();
                server.set_name(server_names[i]);
                server.set_database("d");
                if (c.b % 8 != 0)
                {
                    serving_.insert(server_names[i]);
                }
            }
        }
        pool_.use_settings(settings, out_);
        for (const auto& name : server_names)
        {
            if (serving_.count(name) == 0)
            {
                limits_.erase(name);
                open_after_.erase(name);
            }
        }
    }

    void tick(const command& c)
    {
        now_ += milliseconds(c.b * (c.a % 7 == 0 ? 20 : 1));
        pool_.on_tick(now_, out_);
    }

    using step = void (pool_oracle::*)(const command&);
    static constexpr step steps[kinds] = {
        &pool_oracle::acquire, &pool_oracle::release,
        &pool_oracle::opened,  &pool_oracle::event_after_close,
        &pool_oracle::fail,    &pool_oracle::limit,
        &pool_oracle::waiting, &pool_oracle::settings,
        &pool_oracle::tick,    &pool_oracle::release_again};

    inline static const std::string server_names[3] = {"a", "b", "c"};

    connection_pool pool_;
    outbox out_;
    moment now_;
    std::set<std::string> serving_;
    std::map<std::string, std::uint64_t> limits_;
    std::map<std::string, moment> open_after_;
    std::map<std::uint64_t, tracked_connection> connections_;
};

} // namespace tanagerhoist::fuzz

#endif

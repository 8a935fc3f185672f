// Random pushes, pops, opens, closes, failures and limit changes against
// oracles of plain maps.
#include "tanagerhoist/decision/connection_pool.hpp"
#include "tanagerhoist/decision/fair_queue.hpp"

#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace tanagerhoist;

constexpr char fixed_parameters[] =
    "seed=20260731 max_success=2000 max_size=200 verbose_progress=0";

std::uint64_t sequences = 0;
std::uint64_t commands = 0;

/// One random command; what the numbers mean depends on the kind.
struct command
{
    std::uint32_t kind = 0;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

std::ostream& operator<<(std::ostream& os, const command& c)
{
    return os << '{' << c.kind << ',' << c.a << ',' << c.b << '}';
}

rc::Gen<std::vector<command>> sequence_of(std::uint32_t kinds)
{
    return rc::gen::container<std::vector<command>>(rc::gen::build<command>(
        rc::gen::set(&command::kind, rc::gen::inRange(0U, kinds)),
        rc::gen::set(&command::a, rc::gen::inRange(0U, 1000U)),
        rc::gen::set(&command::b, rc::gen::inRange(0U, 1000U))));
}

const std::map<std::string, std::uint32_t> weights = {
    {"w0", 1}, {"w1", 2}, {"w2", 3}, {"w3", 5}};

class queue_oracle
{
public:
    /// @param credit requests that the order lets a workspace be ahead by
    queue_oracle(queue_order_factory order, double credit)
        : queue_(options(order)), credit_(credit)
    {
    }

    void run(const command& c)
    {
        ++commands;
        (this->*steps[c.kind])(c);
        RC_ASSERT(queue_.size() == waiting_.size());
    }

    void drain()
    {
        while (!waiting_.empty())
        {
            pop({});
            expire({});
        }
    }

    static constexpr std::uint32_t kinds = 9;

private:
    static fair_queue_options options(queue_order_factory order)
    {
        fair_queue_options chosen;
        chosen.order = order;
        chosen.workspace_capacity = 6;
        return chosen;
    }

    std::size_t count(bool emergency, const std::string& workspace) const
    {
        std::size_t n = 0;
        for (const auto& [id, each] : waiting_)
        {
            n += each.emergency == emergency && each.deadline > now_ &&
                         (workspace.empty() || each.workspace == workspace)
                     ? 1
                     : 0;
        }
        return n;
    }

    void push(const command& c)
    {
        queued request;
        request.id = next_id_++;
        request.workspace = "w" + std::to_string(c.a % 4);
        request.weight = weights.at(request.workspace);
        request.emergency = c.a % 5 == 0;
        request.enqueued = now_;
        request.deadline = now_ + milliseconds(c.b);
        const bool full = count(request.emergency, request.workspace) >= 6;
        const bool alone =
            count(request.emergency, {}) == 0 && count(true, {}) == 0;
        const result_code code = queue_.push(now_, request);
        if (c.b == 0)
        {
            RC_ASSERT(code == result_code::deadline_too_short);
        }
        else
        {
            RC_ASSERT((code == result_code::queue_full) == full);
            RC_ASSERT(!alone || code == result_code::ok);
        }
        if (code == result_code::ok)
        {
            waiting_[request.id] = request;
        }
    }

    void pop(const command&)
    {
        const std::size_t others = count(false, {});
        const std::size_t emergencies = count(true, {});
        const auto id = queue_.pop(now_);
        RC_ASSERT(id.has_value() == (others + emergencies > 0));
        if (!id)
        {
            in_a_row_ = 0;
            return;
        }
        RC_ASSERT(waiting_.count(*id) == 1U);
        const queued taken = waiting_.at(*id);
        RC_ASSERT(taken.deadline > now_);
        check_lane(taken, others, emergencies);
        for (const auto& [other, each] : waiting_)
        {
            RC_ASSERT(other >= *id || each.deadline <= now_ ||
                      each.workspace != taken.workspace ||
                      each.emergency != taken.emergency);
        }
        waiting_.erase(*id);
        if (!taken.emergency)
        {
            check_share(taken);
        }
    }

    void check_lane(const queued& taken, std::size_t others,
                    std::size_t emergencies)
    {
        if (others == 0 || emergencies == 0)
        {
            RC_ASSERT(taken.emergency == (others == 0));
            in_a_row_ = others == 0 ? 0 : in_a_row_;
            in_a_row_ = taken.emergency ? in_a_row_ : 0;
            return;
        }
        RC_ASSERT(taken.emergency == (in_a_row_ < 3));
        in_a_row_ = taken.emergency ? in_a_row_ + 1 : 0;
    }

    /// While two workspaces wait, what they are served, each over its weight,
    /// differs by no more than one request of each and the credit of each.
    void check_share(const queued& taken)
    {
        drop_idle_counts();
        for (const auto& [other, weight] : weights)
        {
            if (other == taken.workspace || count(false, other) == 0 ||
                count(false, taken.workspace) == 0)
            {
                continue;
            }
            auto& mine = served_beside_[{taken.workspace, other}];
            mine += 1.0 / weights.at(taken.workspace);
            const double others = served_beside_[{other, taken.workspace}];
            const double most =
                (1 + credit_) *
                (1.0 / weight + 1.0 / weights.at(taken.workspace));
            RC_ASSERT(mine - others <= most + 0.001);
        }
    }

    void expire(const command&)
    {
        std::set<std::uint64_t> due;
        for (const auto& [id, each] : waiting_)
        {
            if (each.deadline <= now_)
            {
                due.insert(id);
            }
        }
        const auto ids = queue_.expire(now_);
        RC_ASSERT(ids.size() == due.size());
        for (const std::uint64_t id : ids)
        {
            RC_ASSERT(due.erase(id) == 1U);
            waiting_.erase(id);
        }
        drop_idle_counts();
    }

    void erase(const command& c)
    {
        const std::uint64_t id = c.a % next_id_;
        RC_ASSERT(queue_.erase(id) == (waiting_.erase(id) == 1));
        drop_idle_counts();
    }

    void finish(const command& c) { queue_.finished(now_, milliseconds(c.a)); }

    void advance(const command& c)
    {
        now_ += milliseconds(c.b / 10);
        drop_idle_counts();
    }

    void drop_idle_counts()
    {
        for (auto it = served_beside_.begin(); it != served_beside_.end();)
        {
            const bool both = count(false, it->first.first) > 0 &&
                              count(false, it->first.second) > 0;
            it = both ? std::next(it) : served_beside_.erase(it);
        }
    }

    using step = void (queue_oracle::*)(const command&);
    static constexpr step steps[kinds] = {
        &queue_oracle::push,   &queue_oracle::push,    &queue_oracle::push,
        &queue_oracle::pop,    &queue_oracle::pop,     &queue_oracle::expire,
        &queue_oracle::finish, &queue_oracle::advance, &queue_oracle::erase};

    fair_queue queue_;
    double credit_;
    moment now_;
    std::uint64_t next_id_ = 1;
    std::uint64_t in_a_row_ = 0;
    std::map<std::uint64_t, queued> waiting_;
    /// Service of the first, over its weight, while the second waited too.
    std::map<std::pair<std::string, std::string>, double> served_beside_;
};

class pool_oracle
{
public:
    void run(const command& c)
    {
        ++commands;
        (this->*steps[c.kind])(c);
        take_actions();
        for (const auto& server : names)
        {
            check(server);
        }
    }

    /// Every owner lets go; nothing in use may be left.
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

    struct line
    {
        std::string server;
        pool_oracle::state state = state::opening;
    };

    std::uint64_t count(const std::string& server, state wanted) const
    {
        std::uint64_t n = 0;
        for (const auto& [id, each] : lines_)
        {
            n += each.server == server && each.state == wanted ? 1 : 0;
        }
        return n;
    }

    /// The connection in `wanted` state that `pick` chooses; 0: there is none.
    std::uint64_t choose(state wanted, std::uint32_t pick) const
    {
        std::vector<std::uint64_t> ids;
        for (const auto& [id, each] : lines_)
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
                RC_ASSERT(lines_.count(open.connection()) == 0U);
                RC_ASSERT(now_ >= open_after_[open.server()]);
                RC_ASSERT(serving_.count(open.server()) == 1U);
                lines_[open.connection()].server = open.server();
                continue;
            }
            const std::uint64_t id = action.close_connection().connection();
            RC_ASSERT(lines_.at(id).state != state::owned);
            RC_ASSERT(lines_.at(id).state != state::closed);
            lines_.at(id).state = state::closed;
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
        const std::string server = names[c.a % 3];
        const bool can =
            serving_.count(server) == 1 && count(server, state::idle) > 0;
        const auto id = pool_.acquire(now_, server, out_);
        RC_ASSERT(id.has_value() == can);
        if (id)
        {
            RC_ASSERT(lines_.at(*id).state == state::idle);
            RC_ASSERT(lines_.at(*id).server == server);
            lines_.at(*id).state = state::owned;
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
        lines_[id].state = state::idle;
        pool_.release(now_, id, clean, out_);
        take_actions();
        RC_ASSERT(clean || lines_[id].state == state::closed);
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
            lines_[id].state = state::idle;
            pool_.on_opened(now_, id);
        }
    }

    void late(const command& c)
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
        if (lines_[id].state == state::opening)
        {
            open_after_[lines_[id].server] = now_ + milliseconds(50);
        }
        lines_[id].state = state::closed;
        pool_.on_closed(now_, id, out_);
    }

    void limit(const command& c)
    {
        if (serving_.count(names[c.a % 3]) == 1)
        {
            limits_[names[c.a % 3]] = c.b % 6;
        }
        pool_.limit(names[c.a % 3], c.b % 6, out_);
    }

    void waiting(const command& c)
    {
        const std::string server = names[c.a % 3];
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
                server.set_name(names[i]);
                server.set_database("d");
                if (c.b % 8 != 0)
                {
                    serving_.insert(names[i]);
                }
            }
        }
        pool_.use_settings(settings, out_);
        for (const auto& name : names)
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
        &pool_oracle::opened,  &pool_oracle::late,
        &pool_oracle::fail,    &pool_oracle::limit,
        &pool_oracle::waiting, &pool_oracle::settings,
        &pool_oracle::tick,    &pool_oracle::release_again};

    inline static const std::string names[3] = {"a", "b", "c"};

    connection_pool pool_;
    outbox out_;
    moment now_;
    std::set<std::string> serving_;
    std::map<std::string, std::uint64_t> limits_;
    std::map<std::string, moment> open_after_;
    std::map<std::uint64_t, line> lines_;
};

template <typename Oracle>
void run_all(Oracle oracle)
{
    ++sequences;
    const auto sequence = *sequence_of(Oracle::kinds);
    for (const command& each : sequence)
    {
        oracle.run(each);
    }
    oracle.drain();
}

void check_start_time_fair()
{
    run_all(queue_oracle(make_start_time_fair_order, 0));
}

void check_weighted_fair()
{
    run_all(queue_oracle(make_weighted_fair_order, 16));
}

void check_pool()
{
    run_all(pool_oracle());
}

struct property
{
    const char* name;
    void (*check)();
};

constexpr property properties[] = {
    {"start-time fair: each request leaves once, in turn",
     check_start_time_fair},
    {"weighted fair: each request leaves once, in turn", check_weighted_fair},
    {"a connection has one owner and stays under the limit", check_pool}};

} // namespace

int main()
{
    setenv("RC_PARAMS", fixed_parameters, 0);
    int passed = 0;
    int failed = 0;
    for (const property& each : properties)
    {
        ++(rc::check(each.name, each.check) ? passed : failed);
    }
    std::cout << sequences << " sequences, " << commands << " commands\n"
              << passed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}

// Waiting times in the queue to one database on an injected clock: one tenant
// at five times its rate, and a flood of emergencies, at both users' sizes.
#include "tanagerhoist/decision/fair_queue.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace tanagerhoist;

constexpr double load_inside_rates = 0.7; ///< of what the database can do
constexpr double flood_factor = 5;
constexpr double emergency_flood_load = 1.2;
constexpr microseconds run_time{120'000'000};
constexpr milliseconds deadline{5'000};
constexpr std::int64_t shortest_service_us = 2'000;
constexpr std::int64_t longest_service_us = 6'000;
constexpr double limit_burst_seconds = 0.5;
constexpr double served_target = 0.99;
constexpr double wait_target = 2;
constexpr double emergency_wait_target_ms = 50;

struct user
{
    const char* name;
    int slots;
};
constexpr user users[] = {{"Corrib", 5}, {"Agency", 2}};

struct tenant
{
    std::string name;
    std::uint64_t weight;
    double rate; ///< requests per second that it sends
    bool emergency = false;
    double limit = 0; ///< requests per second let through; 0: all
};

double seconds(microseconds d)
{
    return std::chrono::duration<double>(d).count();
}

struct result
{
    std::uint64_t asked = 0;
    std::uint64_t served = 0;
    std::vector<microseconds> waits;

    double share() const
    {
        return asked == 0
                   ? 1
                   : static_cast<double>(served) / static_cast<double>(asked);
    }
    double p99_ms() const
    {
        if (waits.empty())
        {
            return 0;
        }
        auto sorted = waits;
        std::sort(sorted.begin(), sorted.end());
        return seconds(sorted[sorted.size() * 99 / 100]) * 1e3;
    }
};

using results = std::map<std::string, result>;

double capacity(int slots)
{
    return slots * 2e6 / (shortest_service_us + longest_service_us);
}

/// Eight workspaces, three of them large.
std::vector<tenant> tenants(int slots)
{
    std::vector<tenant> all;
    constexpr std::uint64_t weights[] = {5, 4, 4, 1, 1, 1, 1, 1};
    for (const std::uint64_t weight : weights)
    {
        all.push_back({"w" + std::to_string(all.size()), weight,
                       capacity(slots) * load_inside_rates *
                           static_cast<double>(weight) / 18});
    }
    return all;
}

class simulation
{
public:
    simulation(queue_order_factory order, int slots, std::vector<tenant> all)
        : queue_(options(order)), free_(slots), tenants_(std::move(all))
    {
    }

    results run()
    {
        for (std::size_t i = 0; i < tenants_.size(); ++i)
        {
            schedule(i, moment());
        }
        while (!events_.empty() && events_.top().at < moment(run_time))
        {
            const event next = events_.top();
            events_.pop();
            next.completion ? complete(next) : arrive(next);
            dispatch(next.at);
        }
        return std::move(results_);
    }

private:
    struct event
    {
        moment at;
        std::uint64_t sequence;
        bool completion;
        std::size_t tenant;
        microseconds service;

        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.sequence) < std::tie(at, sequence);
        }
    };

    static fair_queue_options options(queue_order_factory order)
    {
        fair_queue_options chosen;
        chosen.order = order;
        return chosen;
    }

    double uniform()
    {
        return static_cast<double>(random_() >> 11U) / 9007199254740992.0;
    }

    void schedule(std::size_t tenant, moment after)
    {
        const double gap =
            -std::log(1 - uniform()) / tenants_[tenant].rate * 1e6;
        const microseconds wait(1 + static_cast<std::int64_t>(gap));
        events_.push({after + wait, ++sequence_, false, tenant, {}});
    }

    void arrive(const event& arrival)
    {
        const tenant& from = tenants_[arrival.tenant];
        schedule(arrival.tenant, arrival.at);
        if (from.limit > 0 && !spend(from, arrival.at))
        {
            return;
        }
        ++results_[from.name].asked;
        const queued request{++sequence_,    from.name,  from.weight,
                             from.emergency, arrival.at, arrival.at + deadline};
        if (queue_.push(arrival.at, request) == result_code::ok)
        {
            waiting_.emplace(request.id, request);
        }
    }

    /// Token bucket of an ideal limiter: exact over all VMs.
    bool spend(const tenant& from, moment now)
    {
        const double burst = from.limit * limit_burst_seconds;
        auto& [tokens, at] =
            buckets_.try_emplace(from.name, burst, moment()).first->second;
        tokens = std::min(burst, tokens + from.limit * seconds(now - at));
        at = now;
        if (tokens < 1)
        {
            return false;
        }
        tokens -= 1;
        return true;
    }

    void complete(const event& completion)
    {
        ++free_;
        queue_.finished(completion.at, completion.service);
    }

    void dispatch(moment now)
    {
        for (const std::uint64_t id : queue_.expire(now))
        {
            waiting_.erase(id);
        }
        for (; free_ > 0; --free_)
        {
            const auto id = queue_.pop(now);
            if (!id)
            {
                return;
            }
            const queued& request = waiting_.at(*id);
            result& of = results_[request.workspace];
            ++of.served;
            of.waits.push_back(now - request.enqueued);
            waiting_.erase(*id);
            const microseconds service(
                shortest_service_us +
                static_cast<std::int64_t>(
                    uniform() * (longest_service_us - shortest_service_us)));
            events_.push({now + service, ++sequence_, true, 0, service});
        }
    }

    fair_queue queue_;
    int free_;
    std::vector<tenant> tenants_;
    std::mt19937_64 random_{20260731};
    std::uint64_t sequence_ = 0;
    std::priority_queue<event> events_;
    std::map<std::uint64_t, queued> waiting_;
    std::map<std::string, std::pair<double, moment>> buckets_;
    results results_;
};

/// Worst share served and worst growth of the p99 wait among the others.
bool compare(const char* title, bool bound, const results& calm,
             const results& flooded)
{
    double share = 1;
    double growth = 0;
    double calm_p99 = 0;
    double p99 = 0;
    for (const auto& [name, of] : flooded)
    {
        if (name != "w0")
        {
            share = std::min(share, of.share());
            const double before = calm.at(name).p99_ms();
            const double after = of.p99_ms();
            if (after / before > growth)
            {
                growth = after / before;
                calm_p99 = before;
                p99 = after;
            }
        }
    }
    const bool met = share >= served_target && growth <= wait_target;
    std::printf("  %-34s worst share %.4f, worst p99 wait %.2f ms from %.2f "
                "ms, x%.2f  %s\n",
                title, share, p99, calm_p99, growth,
                !bound ? "baseline"
                : met  ? "met"
                       : "MISSED");
    return met || !bound;
}

bool flood(const user& of, queue_order_factory order, const char* name,
           bool bound)
{
    const auto calm = tenants(of.slots);
    auto flooded = calm;
    flooded[0].rate *= flood_factor;
    const auto before = simulation(order, of.slots, calm).run();
    const auto after = simulation(order, of.slots, flooded).run();
    const std::string title = std::string(name) + ", ";
    auto limited = flooded;
    limited[0].limit = calm[0].rate;
    bool met = compare((title + "limits off").c_str(), bound, before, after);
    met &= compare((title + "ideal limiter").c_str(), bound, before,
                   simulation(order, of.slots, limited).run());
    return met;
}

bool emergencies(const user& of, queue_order_factory order, const char* name,
                 bool bound)
{
    auto all = tenants(of.slots);
    for (tenant& each : all)
    {
        each.rate *= 0.3;
    }
    all.push_back({"lookups", 1, capacity(of.slots) * 0.03});
    all.push_back(
        {"flood", 4, capacity(of.slots) * emergency_flood_load, true});
    all.push_back({"emergency", 4, capacity(of.slots) * 0.05, true});
    auto got = simulation(order, of.slots, all).run();
    double share = 1;
    for (auto& [workspace, each] : got)
    {
        share = workspace == "flood" ? share : std::min(share, each.share());
    }
    const double wait = got["emergency"].p99_ms();
    const bool met = share >= served_target && wait <= emergency_wait_target_ms;
    std::printf("  %-34s worst share %.4f, emergency p99 wait %.2f ms, lookup "
                "p99 wait %.2f ms  %s\n",
                (std::string(name) + ", emergency flood").c_str(), share, wait,
                got["lookups"].p99_ms(),
                !bound ? "baseline"
                : met  ? "met"
                       : "MISSED");
    return met || !bound;
}

} // namespace

int main()
{
    bool met = true;
    for (const user& of : users)
    {
        std::printf("%s, %d slots\n", of.name, of.slots);
        met &= flood(of, make_weighted_fair_order, "weighted fair", true);
        met &= flood(of, make_start_time_fair_order, "start-time fair", false);
        met &= flood(of, make_fifo_order, "fifo", false);
        met &= emergencies(of, make_weighted_fair_order, "weighted fair", true);
        met &= emergencies(of, make_fifo_order, "fifo", false);
    }
    std::printf("%s\n", met ? "all bounds met" : "BOUND MISSED");
    return met ? 0 : 1;
}

// Queueing times for one database on a simulated clock, with one workspace at
// five times its rate and with a flood of emergency requests, for the
// deployments of both users. Exits with 1 if a bound is missed.
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

constexpr double base_load = 0.7; ///< share of the capacity of the database
constexpr double flood_factor = 5;
constexpr double emergency_flood_load = 1.2;
constexpr microseconds run_time{120'000'000};
constexpr milliseconds deadline{5'000};
constexpr std::int64_t min_service_us = 2'000;
constexpr std::int64_t max_service_us = 6'000;
constexpr double limit_burst_seconds = 0.5;
constexpr double min_served_share = 0.99;
constexpr double max_wait_ratio = 2;
constexpr double max_emergency_wait_ms = 50;

struct user
{
    const char* name;
    int slots;
};
constexpr user users[] = {{"Corrib", 5}, {"Agency", 2}};

struct workspace_load
{
    std::string name;
    std::uint64_t weight;
    double rate; ///< requests sent per second
    bool emergency = false;
    double limit = 0; ///< requests admitted per second; 0: unlimited
};

double seconds(microseconds d)
{
    return std::chrono::duration<double>(d).count();
}

struct result
{
    std::uint64_t requested = 0;
    std::uint64_t served = 0;
    std::vector<microseconds> waits;

    double share() const
    {
        return requested == 0 ? 1
                              : static_cast<double>(served) /
                                    static_cast<double>(requested);
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
    return slots * 2e6 / (min_service_us + max_service_us);
}

/// Eight workspaces, three of them with a large weight.
std::vector<workspace_load> make_workspaces(int slots)
{
    std::vector<workspace_load> all;
    constexpr std::uint64_t weights[] = {5, 4, 4, 1, 1, 1, 1, 1};
    for (const std::uint64_t weight : weights)
    {
        all.push_back(
            {"w" + std::to_string(all.size()), weight,
             capacity(slots) * base_load * static_cast<double>(weight) / 18});
    }
    return all;
}

class simulation
{
public:
    simulation(queue_order_factory order, int slots,
               std::vector<workspace_load> all)
        : queue_(options(order)), free_(slots), workspaces_(std::move(all))
    {
    }

    results run()
    {
        for (std::size_t i = 0; i < workspaces_.size(); ++i)
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
        std::size_t workspace;
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

    void schedule(std::size_t workspace, moment after)
    {
        const double gap =
            -std::log(1 - uniform()) / workspaces_[workspace].rate * 1e6;
        const microseconds wait(1 + static_cast<std::int64_t>(gap));
        events_.push({after + wait, ++sequence_, false, workspace, {}});
    }

    void arrive(const event& arrival)
    {
        const workspace_load& from = workspaces_[arrival.workspace];
        schedule(arrival.workspace, arrival.at);
        if (from.limit > 0 && !take_token(from, arrival.at))
        {
            return;
        }
        ++results_[from.name].requested;
        const queued request{++sequence_,    from.name,  from.weight,
                             from.emergency, arrival.at, arrival.at + deadline};
        if (queue_.push(arrival.at, request) == result_code::ok)
        {
            waiting_.emplace(request.id, request);
        }
    }

    /// Takes a token from the bucket of an ideal limiter, which is exact over
    /// all VMs.
    bool take_token(const workspace_load& from, moment now)
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
            result& entry = results_[request.workspace];
            ++entry.served;
            entry.waits.push_back(now - request.enqueued);
            waiting_.erase(*id);
            const microseconds service(
                min_service_us +
                static_cast<std::int64_t>(uniform() *
                                          (max_service_us - min_service_us)));
            events_.push({now + service, ++sequence_, true, 0, service});
        }
    }

    fair_queue queue_;
    int free_;
    std::vector<workspace_load> workspaces_;
    std::mt19937_64 random_{20260731};
    std::uint64_t sequence_ = 0;
    std::priority_queue<event> events_;
    std::map<std::uint64_t, queued> waiting_;
    std::map<std::string, std::pair<double, moment>> buckets_;
    results results_;
};

/// Prints the lowest share served and the largest growth of the p99 wait among
/// all workspaces but the flooding one, w0.
/// @return whether the bound is met or does not apply
bool compare(const char* title, bool bound, const results& without_flood,
             const results& with_flood)
{
    double share = 1;
    double growth = 0;
    double p99_without_flood = 0;
    double p99 = 0;
    for (const auto& [name, entry] : with_flood)
    {
        if (name != "w0")
        {
            share = std::min(share, entry.share());
            const double before = without_flood.at(name).p99_ms();
            const double after = entry.p99_ms();
            if (after / before > growth)
            {
                growth = after / before;
                p99_without_flood = before;
                p99 = after;
            }
        }
    }
    const bool met = share >= min_served_share && growth <= max_wait_ratio;
    std::printf("  %-34s worst share %.4f, worst p99 wait %.2f ms from %.2f "
                "ms, x%.2f  %s\n",
                title, share, p99, p99_without_flood, growth,
                !bound ? "baseline"
                : met  ? "met"
                       : "MISSED");
    return met || !bound;
}

bool compare_flood(const user& size, queue_order_factory order,
                   const char* name, bool bound)
{
    const auto without_flood = make_workspaces(size.slots);
    auto with_flood = without_flood;
    with_flood[0].rate *= flood_factor;
    const auto before = simulation(order, size.slots, without_flood).run();
    const auto after = simulation(order, size.slots, with_flood).run();
    const std::string title = std::string(name) + ", ";
    auto limited = with_flood;
    limited[0].limit = without_flood[0].rate;
    bool met = compare((title + "limits off").c_str(), bound, before, after);
    met &= compare((title + "ideal limiter").c_str(), bound, before,
                   simulation(order, size.slots, limited).run());
    return met;
}

bool compare_emergency_flood(const user& size, queue_order_factory order,
                             const char* name, bool bound)
{
    auto all = make_workspaces(size.slots);
    for (workspace_load& each : all)
    {
        each.rate *= 0.3;
    }
    all.push_back({"lookups", 1, capacity(size.slots) * 0.03});
    all.push_back(
        {"flood", 4, capacity(size.slots) * emergency_flood_load, true});
    all.push_back({"emergency", 4, capacity(size.slots) * 0.05, true});
    auto measured = simulation(order, size.slots, all).run();
    double share = 1;
    for (auto& [workspace, each] : measured)
    {
        share = workspace == "flood" ? share : std::min(share, each.share());
    }
    const double wait = measured["emergency"].p99_ms();
    const bool met = share >= min_served_share && wait <= max_emergency_wait_ms;
    std::printf("  %-34s worst share %.4f, emergency p99 wait %.2f ms, lookup "
                "p99 wait %.2f ms  %s\n",
                (std::string(name) + ", emergency flood").c_str(), share, wait,
                measured["lookups"].p99_ms(),
                !bound ? "baseline"
                : met  ? "met"
                       : "MISSED");
    return met || !bound;
}

} // namespace

int main()
{
    bool met = true;
    for (const user& size : users)
    {
        std::printf("%s, %d slots\n", size.name, size.slots);
        met &= compare_flood(size, make_weighted_fair_order, "weighted fair",
                             true);
        met &= compare_flood(size, make_start_time_fair_order,
                             "start-time fair", false);
        met &= compare_flood(size, make_fifo_order, "fifo", false);
        met &= compare_emergency_flood(size, make_weighted_fair_order,
                                       "weighted fair", true);
        met &= compare_emergency_flood(size, make_fifo_order, "fifo", false);
    }
    std::printf("%s\n", met ? "all bounds met" : "BOUND MISSED");
    return met ? 0 : 1;
}

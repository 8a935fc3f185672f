#include "tanagerhoist/session/placement.hpp"
#include "tanagerhoist/session/server_evidence.hpp"
#include "tanagerhoist/session/server_pace.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

// Compares ways to pace a server that has restarted and answers slowly at
// first, on one replayed load. Documented in docs/design/pace.md.
namespace tanagerhoist
{
namespace
{

/// Loads over which each figure is the mean.
constexpr unsigned seeds = 20;

/// A way to choose the server's share of its usual work, from 0 to 1.
class pace_rule
{
public:
    virtual ~pace_rule() = default;
    /// @param seconds since the server came back
    virtual double next(double seconds, const pace_window& window) = 0;
};

class no_pace : public pace_rule
{
public:
    double next(double, const pace_window&) override { return 1; }
};

class time_ramp : public pace_rule
{
public:
    double next(double seconds, const pace_window&) override
    {
        return std::min(1.0, server_pace::least + seconds / 5);
    }
};

/// As the coordinator does.
class additive_increase : public pace_rule
{
public:
    additive_increase() { pace_.begin(); }
    double next(double, const pace_window& window) override
    {
        pace_.note(window);
        return pace_.share();
    }

private:
    server_pace pace_;
};

/// By the answer times against the lowest ones lately seen.
class gradient : public pace_rule
{
public:
    double next(double, const pace_window& window) override
    {
        if (window.timed > 0)
        {
            const double slowness = window.slowness_sum / window.timed;
            lowest_ = std::min(lowest_ * 1.02, slowness);
            const double ratio = std::clamp(1.5 * lowest_ / slowness, 0.5, 1.0);
            share_ = std::clamp(share_ * ratio + 0.08, server_pace::least, 1.0);
        }
        return share_;
    }

private:
    double lowest_ = 100;
    double share_ = server_pace::least;
};

struct statement_event
{
    double at = 0;
    std::size_t server = 0;
    std::size_t vm = 0;
    double arrived = 0;
    bool ends = false;
    bool operator>(const statement_event& other) const { return at > other.at; }
};

struct replay_result
{
    double late = 0; ///< part of the statements over the target
    double p99_ms = 0;
    double busy = 0;      ///< part refused for a full queue
    double settled_s = 0; ///< until it has nine tenths of its usual work
};

/// 450 statements a second at three servers of five slots and 20 ms; one is
/// down for a second, then takes three times as long, less and less so until it
/// answers as usual.
class replay
{
public:
    replay(std::size_t vms, double cold, pace_rule& rule, unsigned seed)
        : vms_(vms), cold_(cold), rule_(rule), random_(seed), running_(vms)
    {
    }

    replay_result run()
    {
        double arrival = 0;
        double report = 0;
        while (arrival < end)
        {
            if (!events_.empty() &&
                events_.top().at <= std::min(arrival, report))
            {
                const auto event = events_.top();
                events_.pop();
                finish(event);
            }
            else if (report <= arrival)
            {
                observe(report);
                report += 0.4;
            }
            else
            {
                arrive(arrival);
                arrival += std::exponential_distribution<>(rate)(random_);
            }
        }
        return summary();
    }

private:
    static constexpr std::size_t servers = 3;
    static constexpr unsigned slots = 5;
    static constexpr double rate = 450;
    static constexpr double work = 0.02;
    static constexpr double down = 5;
    static constexpr double back = 6;
    static constexpr double end = 20;
    static constexpr double target = 0.2;

    static moment at(double seconds)
    {
        return moment(microseconds(static_cast<std::int64_t>(seconds * 1e6)));
    }

    void arrive(double now)
    {
        const auto vm =
            std::uniform_int_distribution<std::size_t>(0, vms_ - 1)(random_);
        std::vector<placement_candidate> candidates;
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < servers; ++i)
        {
            const bool is_down = i == 2 && now >= down && now < back;
            if (is_down)
            {
                continue;
            }
            const double share = i == 2 && now >= back ? share_ : 1;
            placement_candidate candidate;
            candidate.response_us = work * 1e6;
            candidate.held_back =
                unit_(random_) >= std::min(share, 1 / told_slowness_.at(i));
            candidate.failing_share = told_failing_.at(i);
            candidate.running = running_[vm].at(i);
            candidate.slots = slots;
            candidate.spread = unit_(random_);
            candidates.push_back(candidate);
            found.push_back(i);
        }
        const auto server = found[*choose_server(candidates, cost_by_evidence)];
        if (queues_.at(server).size() >= 40)
        {
            evidence_.at(server).add(at(now), server_outcome::no_answer);
            window_.failed += server == 2 ? 1 : 0;
            refused_ += now >= back && now < back + 10 ? 1 : 0;
            counted_ += now >= back && now < back + 10 ? 1 : 0;
            return;
        }
        running_[vm].at(server) += 1;
        queues_.at(server).push_back({now, server, vm, now, false});
        start(now, server);
    }

    void start(double now, std::size_t server)
    {
        auto& queue = queues_.at(server);
        while (busy_.at(server) < slots && !queue.empty())
        {
            auto event = queue.front();
            queue.pop_front();
            const double since = now - back;
            const double factor = server == 2 && since >= 0 && since < cold_
                                      ? 3 - 2 * since / cold_
                                      : 1;
            const double took =
                std::exponential_distribution<>(1 / (work * factor))(random_);
            event.at = now + took;
            event.ends = true;
            ++busy_.at(server);
            events_.push(event);
        }
    }

    void finish(const statement_event& event)
    {
        --busy_.at(event.server);
        running_[event.vm].at(event.server) -= 1;
        const double took = event.at - event.arrived;
        auto& evidence = evidence_.at(event.server);
        evidence.add(at(event.at), server_outcome::answered);
        evidence.add_slowness(at(event.at), took / (work * 1.2));
        if (event.server == 2)
        {
            window_.answered += 1;
            window_.timed += 1;
            window_.slowness_sum += took / (work * 1.2);
            served_third_.push_back(event.at);
        }
        if (event.arrived >= back && event.arrived < back + 10)
        {
            ++counted_;
            times_.push_back(took);
        }
        start(event.at, event.server);
    }

    void observe(double now)
    {
        for (std::size_t i = 0; i < servers; ++i)
        {
            const auto slowness = evidence_.at(i).slowness(at(now));
            const auto failing = evidence_.at(i).failing_share(at(now));
            told_slowness_.at(i) = slowness >= 2.5 ? slowness : 1;
            told_failing_.at(i) = failing >= 0.05 ? failing : 0;
        }
        if (now >= back)
        {
            share_ = rule_.next(now - back, window_);
        }
        window_ = {};
    }

    replay_result summary()
    {
        replay_result result;
        std::sort(times_.begin(), times_.end());
        const auto late = std::count_if(times_.begin(), times_.end(),
                                        [](double t) { return t > target; });
        result.late = static_cast<double>(late) / counted_;
        result.busy = refused_ / counted_;
        result.p99_ms = times_[times_.size() * 99 / 100] * 1000;
        const auto before =
            std::count_if(served_third_.begin(), served_third_.end(),
                          [](double t) { return t > 1 && t < down; });
        const double usual = static_cast<double>(before) / (down - 1);
        for (double t = back; t < end - 1; t += 0.1)
        {
            const auto got =
                std::count_if(served_third_.begin(), served_third_.end(),
                              [t](double s) { return s >= t && s < t + 1; });
            if (static_cast<double>(got) >= 0.9 * usual)
            {
                result.settled_s = t - back;
                break;
            }
            result.settled_s = end - back;
        }
        return result;
    }

    std::size_t vms_;
    double cold_; ///< seconds until it answers as usual
    pace_rule& rule_;
    std::mt19937 random_;
    std::uniform_real_distribution<> unit_{0, 1};
    std::vector<std::array<unsigned, servers>> running_;
    std::array<std::deque<statement_event>, servers> queues_;
    std::array<unsigned, servers> busy_{};
    std::array<server_evidence, servers> evidence_;
    std::array<double, servers> told_slowness_{1, 1, 1};
    std::array<double, servers> told_failing_{};
    std::priority_queue<statement_event, std::vector<statement_event>,
                        std::greater<>>
        events_;
    std::vector<double> times_;
    std::vector<double> served_third_;
    pace_window window_;
    double share_ = server_pace::least;
    double counted_ = 0;
    double refused_ = 0;
};

template <typename Rule>
void print_rows(const char* name, double cold)
{
    for (const std::size_t vms : {7, 64, 195})
    {
        replay_result result;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            Rule rule;
            const auto one = replay(vms, cold, rule, seed).run();
            result.late += one.late / seeds;
            result.p99_ms += one.p99_ms / seeds;
            result.busy += one.busy / seeds;
            result.settled_s += one.settled_s / seeds;
        }
        std::printf("%-20s %3zu VMs: late %5.2f %%, p99 %4.0f ms, refused "
                    "%5.2f %%, nine tenths after %.1f s\n",
                    name, vms, result.late * 100, result.p99_ms,
                    result.busy * 100, result.settled_s);
    }
}

} // namespace
} // namespace tanagerhoist

int main()
{
    using namespace tanagerhoist;
    for (const double cold : {4.0, 12.0})
    {
        std::printf("slow for %.0f s\n", cold);
        print_rows<no_pace>("none", cold);
        print_rows<time_ramp>("ramp by time", cold);
        print_rows<additive_increase>("additive increase", cold);
        print_rows<gradient>("gradient", cold);
    }
}

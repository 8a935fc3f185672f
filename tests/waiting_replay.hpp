#ifndef TANAGERHOIST_TESTS_WAITING_REPLAY_HPP
#define TANAGERHOIST_TESTS_WAITING_REPLAY_HPP

#include "tanagerhoist/session/wait_outlook.hpp"
#include "tanagerhoist/session/waiting_order.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>
#include <random>
#include <string>
#include <utility>
#include <vector>

// Replays of statements that wait for a slot at the servers.
namespace tanagerhoist::waiting
{

constexpr std::size_t slots = 5;
constexpr milliseconds service_time{20};
constexpr milliseconds replayed_time{20'000};
constexpr moment start{std::chrono::hours(1)};

/// Statements of one kind that a workspace sends with random gaps.
struct demand
{
    std::string workspace;
    double per_second = 0;
    milliseconds target{400};
    milliseconds timeout{1500};
    milliseconds service = service_time;
};

/// What became of the statements of one demand.
struct outcome
{
    std::size_t sent = 0;
    std::size_t missed = 0;  ///< answered after the target, or not at all
    std::size_t expired = 0; ///< not assigned before the timeout
    std::size_t refused = 0; ///< before the timeout
    std::vector<double> refusals_ms; ///< times of waiting until a refusal
    std::vector<double> waits_ms;

    double percentile(double part) const
    {
        auto sorted = waits_ms;
        std::sort(sorted.begin(), sorted.end());
        const auto last = static_cast<double>(sorted.size() - 1);
        return sorted.empty() ? 0
                              : sorted[static_cast<std::size_t>(part * last)];
    }
};

/// Replays demands at one VM with a fixed number of slots at the servers.
class replay
{
public:
    explicit replay(std::vector<demand> demands)
        : demands_(std::move(demands)), outcomes_(demands_.size())
    {
        for (std::size_t i = 0; i < demands_.size(); ++i)
        {
            add_arrivals(i);
        }
        std::sort(arrivals_.begin(), arrivals_.end(),
                  [](const auto& a, const auto& b)
                  { return a.arrived < b.arrived; });
    }

    /// No server takes statements from `from` to `to`.
    void stall(milliseconds from, milliseconds to)
    {
        stall_from_ = start + from;
        stall_to_ = start + to;
    }

    /// @param refuses whether statements are refused early
    std::vector<outcome> run(bool by_workspace, bool refuses = false)
    {
        std::vector<moment> free_at(slots, start);
        std::size_t next = 0;
        auto now = start;
        while (next < arrivals_.size() || !waiting_.empty())
        {
            const auto slot = std::min_element(free_at.begin(), free_at.end());
            now = std::max(now, *slot);
            now = now >= stall_from_ ? std::max(now, stall_to_) : now;
            if (waiting_.empty())
            {
                now = std::max(now, arrivals_[next].arrived);
            }
            for (; next < arrivals_.size() && arrivals_[next].arrived <= now;
                 ++next)
            {
                waiting_.push_back(arrivals_[next]);
            }
            expire(now);
            *slot = waiting_.empty() ? now : assign_first(now, by_workspace);
            if (refuses)
            {
                refuse_unservable(now);
            }
        }
        return outcomes_;
    }

private:
    void add_arrivals(std::size_t index)
    {
        const auto& from = demands_[index];
        std::mt19937_64 random(index + 1);
        constexpr double range = 18446744073709551616.0;
        auto at = start;
        while (true)
        {
            const auto part = (static_cast<double>(random()) + 1) / range;
            at += std::chrono::duration_cast<moment::duration>(
                std::chrono::duration<double>(-std::log(part) /
                                              from.per_second));
            if (at >= start + replayed_time)
            {
                return;
            }
            arrivals_.push_back({at + from.target, 0, at, next_id(index),
                                 from.workspace, 1, at + from.timeout});
            ++outcomes_[index].sent;
        }
    }

    void expire(moment now)
    {
        const auto is_expired = [this, now](const queued_statement& statement) {
            return now >=
                   statement.arrived + demands_[index_of(statement)].timeout;
        };
        for (const auto& statement : waiting_)
        {
            outcomes_[index_of(statement)].expired +=
                is_expired(statement) ? 1 : 0;
            outcomes_[index_of(statement)].missed +=
                is_expired(statement) ? 1 : 0;
        }
        waiting_.erase(
            std::remove_if(waiting_.begin(), waiting_.end(), is_expired),
            waiting_.end());
    }

    /// @return when its slot is free again
    moment assign_first(moment now, bool by_workspace)
    {
        if (by_workspace)
        {
            order_.sort(now + service_time, waiting_);
        }
        else
        {
            std::stable_sort(waiting_.begin(), waiting_.end(),
                             [now](const auto& a, const auto& b)
                             { return runs_before(a, b, now); });
        }
        const auto first = waiting_.front();
        waiting_.erase(waiting_.begin());
        assigned_ = {first};
        order_.charge(first);
        auto& result = outcomes_[index_of(first)];
        const auto end = now + demands_[index_of(first)].service;
        result.missed += end > first.due ? 1 : 0;
        result.waits_ms.push_back(milliseconds_between(first.arrived, now));
        return end;
    }

    void refuse_unservable(moment now)
    {
        std::vector<queued_statement> left;
        const auto unservable =
            outlook_.update(now, service_time, assigned_, waiting_);
        assigned_.clear();
        auto next = unservable.begin();
        for (const auto& statement : waiting_)
        {
            if (next == unservable.end() || next->id != statement.id)
            {
                left.push_back(statement);
                continue;
            }
            ++next;
            auto& result = outcomes_[index_of(statement)];
            ++result.refused;
            ++result.missed;
            result.refusals_ms.push_back(
                milliseconds_between(statement.arrived, now));
        }
        waiting_ = left;
    }

    session_id next_id(std::size_t index)
    {
        const auto id = arrivals_.size() * demands_.size() + index;
        return static_cast<session_id>(id);
    }

    std::size_t index_of(const queued_statement& statement) const
    {
        return statement.id % demands_.size();
    }

    static double milliseconds_between(moment from, moment to)
    {
        return std::chrono::duration<double, std::milli>(to - from).count();
    }

    std::vector<demand> demands_;
    moment stall_from_ = moment::max();
    moment stall_to_{};
    wait_outlook outlook_;
    std::vector<queued_statement> assigned_;
    std::vector<queued_statement> arrivals_;
    std::vector<queued_statement> waiting_;
    std::vector<outcome> outcomes_;
    waiting_order order_;
};

/// Workspaces a to h with 80% of the capacity of 250 statements a second.
inline std::vector<demand> usual_demands()
{
    std::vector<demand> demands;
    for (const auto* name : {"a", "b", "c", "d", "e", "f", "g", "h"})
    {
        demands.push_back({name, 25});
    }
    return demands;
}

/// The same with workspace a at five times its usual.
inline std::vector<demand> flood()
{
    auto demands = usual_demands();
    demands[0].per_second *= 5;
    return demands;
}

inline std::size_t served(const std::vector<outcome>& outcomes)
{
    return std::accumulate(outcomes.begin(), outcomes.end(), std::size_t{0},
                           [](std::size_t sum, const outcome& each)
                           { return sum + each.waits_ms.size(); });
}

inline std::size_t on_time(const std::vector<outcome>& outcomes)
{
    return std::accumulate(outcomes.begin(), outcomes.end(), std::size_t{0},
                           [](std::size_t sum, const outcome& each)
                           { return sum + each.sent - each.missed; });
}

inline queued_statement statement_of(const char* workspace, int due_ms)
{
    return {start + milliseconds(due_ms), 0, start, 0, workspace, 1};
}

} // namespace tanagerhoist::waiting

#endif

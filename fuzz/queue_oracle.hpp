#ifndef TANAGERHOIST_FUZZ_QUEUE_ORACLE_HPP
#define TANAGERHOIST_FUZZ_QUEUE_ORACLE_HPP

// Reference model of the fair queue, built on plain maps.

#include "fuzz/random_command.hpp"
#include "tanagerhoist/decision/fair_queue.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist::fuzz
{

inline const std::map<std::string, std::uint32_t> weights = {
    {"w0", 1}, {"w1", 2}, {"w2", 3}, {"w3", 5}};

class queue_oracle
{
public:
    /// @param credit number of requests that a workspace may run early
    queue_oracle(queue_order_factory order, double credit)
        : queue_(options(order)), credit_(credit)
    {
    }

    void run(const command& c)
    {
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

    /// While two workspaces both have requests waiting, their service divided
    /// by their weight differs by at most one request and the credit of each.
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
    /// Service of the first, divided by its weight, while both had requests
    /// waiting.
    std::map<std::pair<std::string, std::string>, double> served_beside_;
};

} // namespace tanagerhoist::fuzz

#endif

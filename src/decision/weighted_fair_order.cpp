#include "tanagerhoist/decision/queue_order.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace tanagerhoist
{
namespace
{

/// Virtual time of one request of a workspace with weight 1.
constexpr std::uint64_t request_cost = 1'000'000;

/// Credit, in requests, of a workspace that used less than its share.
constexpr std::uint64_t credit_requests = 16;

/// Initial virtual time; large enough that subtracting a workspace's credit
/// doesn't underflow.
constexpr std::uint64_t initial_virtual_time = request_cost * credit_requests;

/// Start-time fair queueing. Consecutive requests of a workspace have start
/// tags one span apart, and the request with the lowest tag runs next. Only the
/// tag of a workspace's first request is stored, so that erasing a request from
/// the middle doesn't delay the ones behind it.
class weighted_fair_order final : public queue_order
{
public:
    explicit weighted_fair_order(std::uint64_t credit) : credit_(credit) {}

    void push(const queued& request) override
    {
        flow& owner = flows_[request.workspace];
        owner.span = span_of(request);
        if (owner.waiting.empty())
        {
            owner.start = earliest_start(owner);
            heads_.emplace(owner.start, request.workspace);
        }
        owner.waiting.emplace(next_place_, request.id);
        places_.emplace(request.id, next_place_);
        ++next_place_;
    }

    std::optional<std::uint64_t> pop() override
    {
        if (heads_.empty())
        {
            return std::nullopt;
        }
        const std::string workspace = heads_.begin()->second;
        heads_.erase(heads_.begin());
        flow& owner = flows_[workspace];
        const auto first = owner.waiting.begin();
        const std::uint64_t id = first->second;
        owner.waiting.erase(first);
        places_.erase(id);
        virtual_time_ = std::max(virtual_time_, owner.start);
        owner.start += owner.span;
        if (!owner.waiting.empty())
        {
            heads_.emplace(owner.start, workspace);
        }
        reset_if_empty();
        return id;
    }

    void erase(const queued& request) override
    {
        const auto place = places_.find(request.id);
        if (place == places_.end())
        {
            return;
        }
        flow& owner = flows_[request.workspace];
        owner.waiting.erase(place->second);
        places_.erase(place);
        if (owner.waiting.empty())
        {
            heads_.erase({owner.start, request.workspace});
        }
        reset_if_empty();
    }

    std::size_t ahead_of(const queued& request) const override
    {
        const std::uint64_t start = start_of(request);
        std::size_t ahead = 0;
        for (const auto& head : heads_)
        {
            if (head.first >= start)
            {
                break;
            }
            const flow& other = flows_.at(head.second);
            const std::uint64_t earlier =
                (start - head.first + other.span - 1) / other.span;
            ahead += std::min<std::size_t>(other.waiting.size(), earlier);
        }
        return ahead;
    }

    std::size_t size() const override { return places_.size(); }

private:
    /// Waiting requests of one workspace.
    struct flow
    {
        std::uint64_t start = 0; ///< tag of the first or next request
        std::uint64_t span = request_cost;
        std::map<std::uint64_t, std::uint64_t> waiting; ///< ids by arrival
    };

    static std::uint64_t span_of(const queued& request)
    {
        return std::max<std::uint64_t>(
            request_cost / std::max<std::uint64_t>(request.weight, 1), 1);
    }

    /// Start tag that `request` would get if it were pushed now.
    std::uint64_t start_of(const queued& request) const
    {
        const auto known = flows_.find(request.workspace);
        flow owner = known == flows_.end() ? flow() : known->second;
        owner.span = span_of(request);
        return owner.waiting.empty()
                   ? earliest_start(owner)
                   : owner.start + owner.span * owner.waiting.size();
    }

    /// Start tag of the first request after the workspace had none waiting.
    std::uint64_t earliest_start(const flow& owner) const
    {
        return std::max(owner.start, virtual_time_ - credit_ * owner.span);
    }

    /// Discards all flows and credits at the end of a busy period.
    void reset_if_empty()
    {
        if (places_.empty())
        {
            flows_.clear();
            virtual_time_ = initial_virtual_time;
        }
    }

    std::uint64_t credit_;
    std::uint64_t virtual_time_ = initial_virtual_time;
    std::uint64_t next_place_ = 0;
    std::map<std::string, flow> flows_;
    std::set<std::pair<std::uint64_t, std::string>> heads_;
    std::map<std::uint64_t, std::uint64_t> places_; // by id
};

} // namespace

std::unique_ptr<queue_order> make_weighted_fair_order()
{
    return std::make_unique<weighted_fair_order>(credit_requests);
}

std::unique_ptr<queue_order> make_start_time_fair_order()
{
    return std::make_unique<weighted_fair_order>(0);
}

} // namespace tanagerhoist

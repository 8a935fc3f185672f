#include "tanagerhoist/decision/queue_order.hpp"

#include <map>

namespace tanagerhoist
{
namespace
{

class fifo_order final : public queue_order
{
public:
    void push(const queued& request) override
    {
        places_.emplace(request.id, next_place_);
        queue_.emplace(next_place_, request.id);
        ++next_place_;
    }

    std::optional<std::uint64_t> pop() override
    {
        if (queue_.empty())
        {
            return std::nullopt;
        }
        const std::uint64_t id = queue_.begin()->second;
        queue_.erase(queue_.begin());
        places_.erase(id);
        return id;
    }

    void erase(const queued& request) override
    {
        const auto place = places_.find(request.id);
        if (place != places_.end())
        {
            queue_.erase(place->second);
            places_.erase(place);
        }
    }

    std::size_t ahead_of(const queued&) const override { return queue_.size(); }

    std::size_t size() const override { return queue_.size(); }

private:
    std::uint64_t next_place_ = 0;
    std::map<std::uint64_t, std::uint64_t> queue_;  // ids by place
    std::map<std::uint64_t, std::uint64_t> places_; // places by id
};

} // namespace

std::unique_ptr<queue_order> make_fifo_order()
{
    return std::make_unique<fifo_order>();
}

} // namespace tanagerhoist

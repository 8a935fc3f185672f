#include "coordinator_simulation_fibers.hpp"

#include <boost/context/pooled_fixedsize_stack.hpp>

#include <algorithm>

namespace tanagerhoist::fuzz
{
namespace
{

constexpr std::size_t stack_bytes = 131072;

boost::context::pooled_fixedsize_stack& stacks()
{
    static boost::context::pooled_fixedsize_stack pool(stack_bytes);
    return pool;
}

} // namespace

void event_queue::add(microseconds delay, action what)
{
    events_.emplace(std::make_pair(now_ + delay, ++added_), std::move(what));
}

bool event_queue::run_one(moment until)
{
    const auto first = events_.begin();
    if (first == events_.end() || first->first.first > until)
    {
        now_ = std::max(now_, until);
        return false;
    }
    now_ = std::max(now_, first->first.first);
    const auto what = std::move(first->second);
    events_.erase(first);
    what();
    return true;
}

void fiber_process::spawn(std::function<void()> body)
{
    const auto id = ++started_;
    suspended_.emplace(
        id, boost::context::fiber(
                std::allocator_arg, stacks(),
                [this, body = std::move(body)](boost::context::fiber&& caller)
                {
                    caller_ = std::move(caller);
                    body();
                    return std::move(caller_);
                }));
    events_.add(microseconds(0),
                [self = weak_from_this(), id]
                {
                    if (const auto process = self.lock())
                    {
                        process->post([process = process.get(), id]
                                      { process->resume(id); });
                    }
                });
}

void fiber_process::post(std::function<void()> what)
{
    if (ended_)
    {
        return;
    }
    if (is_frozen())
    {
        waiting_.push_back(std::move(what));
        return;
    }
    what();
}

void fiber_process::resume(std::uint64_t fiber)
{
    const auto it = suspended_.find(fiber);
    if (ended_ || it == suspended_.end())
    {
        return;
    }
    auto next = std::move(it->second);
    suspended_.erase(it);
    const auto before = std::exchange(running_, fiber);
    auto left = std::move(next).resume();
    running_ = before;
    if (left)
    {
        suspended_.emplace(fiber, std::move(left));
    }
}

void fiber_process::suspend()
{
    auto back = std::move(caller_).resume();
    caller_ = std::move(back);
}

std::shared_ptr<fiber_process::waker> fiber_process::make_waker()
{
    auto made = std::make_shared<waker>();
    made->process_ = weak_from_this();
    made->fiber_ = running_;
    return made;
}

bool fiber_process::waker::wake()
{
    const auto process = process_.lock();
    if (std::exchange(done_, true) || !process || process->ended_)
    {
        return false;
    }
    process->resume(fiber_);
    return true;
}

void fiber_process::pause(microseconds time)
{
    events_.add(time,
                [self = weak_from_this(), waker = make_waker()]
                {
                    if (const auto process = self.lock())
                    {
                        process->post([waker] { waker->wake(); });
                    }
                });
    suspend();
}

void fiber_process::freeze(microseconds time, std::size_t rotation)
{
    frozen_until_ = std::max(frozen_until_, events_.now() + time);
    events_.add(time,
                [self = weak_from_this(), rotation]
                {
                    if (const auto process = self.lock())
                    {
                        process->thaw(rotation);
                    }
                });
}

void fiber_process::thaw(std::size_t rotation)
{
    if (ended_ || is_frozen())
    {
        return;
    }
    auto due = std::exchange(waiting_, {});
    if (!due.empty())
    {
        const auto first = static_cast<std::ptrdiff_t>(rotation % due.size());
        std::rotate(due.begin(), due.begin() + first, due.end());
    }
    for (auto& what : due)
    {
        post(std::move(what));
    }
}

void fiber_process::end()
{
    ended_ = true;
    waiting_.clear();
    auto unwound = std::exchange(suspended_, {});
    unwound.clear();
}

} // namespace tanagerhoist::fuzz

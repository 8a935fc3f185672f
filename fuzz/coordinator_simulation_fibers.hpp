#ifndef TANAGERHOIST_FUZZ_COORDINATOR_SIMULATION_FIBERS_HPP
#define TANAGERHOIST_FUZZ_COORDINATOR_SIMULATION_FIBERS_HPP

// Fibers of several simulated VMs on one injected clock. Every wait is an event
// of one queue, so a run is determined by its delays alone.
#include "tanagerhoist/core/time.hpp"

#include <boost/context/fiber.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace tanagerhoist::fuzz
{

/// Clock and queue of events. Events of the same moment run in the order in
/// which they were added.
class event_queue
{
public:
    using action = std::function<void()>;

    moment now() const { return now_; }

    void add(microseconds delay, action what);

    /// Runs one event.
    /// @return false if there is none up to `until`, which is the time then
    bool run_one(moment until);

private:
    moment now_{std::chrono::hours(1)};
    std::uint64_t added_ = 0;
    std::map<std::pair<moment, std::uint64_t>, action> events_;
};

/// The process of one VM: its fibers, which run unless the VM is frozen. When
/// it ends, all of its fibers are unwound.
class fiber_process : public std::enable_shared_from_this<fiber_process>
{
public:
    explicit fiber_process(event_queue& events) : events_(events) {}
    ~fiber_process() { end(); }
    fiber_process(const fiber_process&) = delete;
    fiber_process& operator=(const fiber_process&) = delete;

    /// Starts a fiber, from outside of a fiber or from one.
    void spawn(std::function<void()> body);

    /// Runs an action of this process now, or when it is no longer frozen.
    void post(std::function<void()> what);

    /// Suspends the running fiber.
    void pause(microseconds time);

    /// Wakes one suspended fiber at most once.
    class waker
    {
    public:
        /// @return false if the fiber has been woken already, or has ended
        bool wake();

        bool is_done() const { return done_; }

    private:
        friend class fiber_process;
        std::weak_ptr<fiber_process> process_;
        std::uint64_t fiber_ = 0;
        bool done_ = false;
    };

    /// A waker of the running fiber, which must call suspend() next.
    std::shared_ptr<waker> make_waker();
    void suspend();

    /// Doesn't run for some time.
    /// @param rotation which of the actions that came meanwhile runs first
    void freeze(microseconds time, std::size_t rotation);
    bool is_frozen() const { return events_.now() < frozen_until_; }

    void end();
    bool has_ended() const { return ended_; }

private:
    void resume(std::uint64_t fiber);
    void thaw(std::size_t rotation);

    event_queue& events_;
    std::map<std::uint64_t, boost::context::fiber> suspended_;
    std::uint64_t started_ = 0;
    std::uint64_t running_ = 0; ///< 0: none
    boost::context::fiber caller_;
    std::deque<std::function<void()>> waiting_; ///< while frozen
    moment frozen_until_{};
    bool ended_ = false;
};

/// Answer that a fiber waits for. Copies share it, so that it can come after
/// the fiber has given up or has ended.
template <typename Answer>
class pending_answer
{
public:
    /// To be called by the fiber that will wait.
    pending_answer(event_queue& events, fiber_process& process)
        : events_(&events),
          process_(process.weak_from_this()),
          state_(std::make_shared<state>())
    {
        state_->waker = process.make_waker();
    }

    void answer_after(microseconds delay, Answer answer) const
    {
        post_after(delay,
                   [state = state_, answer = std::move(answer)]
                   {
                       if (!state->waker->is_done())
                       {
                           state->answer = answer;
                           state->waker->wake();
                       }
                   });
    }

    void give_up_after(microseconds delay) const
    {
        post_after(delay, [state = state_] { state->waker->wake(); });
    }

    /// @return nothing if the fiber has given up
    std::optional<Answer> wait(fiber_process& process) const
    {
        process.suspend();
        return state_->answer;
    }

private:
    struct state
    {
        std::optional<Answer> answer;
        std::shared_ptr<fiber_process::waker> waker;
    };

    void post_after(microseconds delay, std::function<void()> what) const
    {
        events_->add(delay,
                     [process = process_, what = std::move(what)]
                     {
                         if (const auto running = process.lock())
                         {
                             running->post(what);
                         }
                     });
    }

    event_queue* events_;
    std::weak_ptr<fiber_process> process_;
    std::shared_ptr<state> state_;
};

} // namespace tanagerhoist::fuzz

#endif

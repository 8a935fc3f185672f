#include "tanagerhoist/adapter/loop_monitor.hpp"

#include <algorithm>
#include <ostream>
#include <utility>

namespace tanagerhoist
{
namespace
{

/// Delay from which a run counts as late and is logged.
constexpr milliseconds late_after{150};

/// Least interval of log lines.
constexpr milliseconds line_interval{1000};

constexpr std::array<const char*, loop_work_kinds> names{
    "report",      "grant_request", "view",   "grant_reply", "view_sent",
    "report_sent", "request_sent",  "client", "server",      "tick"};

double seconds(microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

const char* loop_work_name(loop_work kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

loop_monitor::measurement::measurement(loop_monitor& monitor, loop_work kind)
    : monitor_(monitor), kind_(kind), begun_(monitor.now_())
{
}

loop_monitor::measurement::~measurement()
{
    monitor_.add(kind_, monitor_.now_() - begun_);
}

loop_monitor::loop_monitor(structured_log& lines, clock now)
    : lines_(lines), now_(std::move(now))
{
}

void loop_monitor::watch(std::function<loop_queues()> queues)
{
    queues_ = std::move(queues);
}

void loop_monitor::add(loop_work kind, microseconds took)
{
    const auto now = now_();
    if (now >= recent_since_ + line_interval)
    {
        recent_ = {};
        recent_since_ = now;
    }
    for (auto* table : {&total_, &recent_})
    {
        auto& figures = table->at(static_cast<std::size_t>(kind));
        ++figures.count;
        figures.time += took;
    }
}

void loop_monitor::timer_runs(moment due)
{
    note_run(timers_, "timer", due);
}

void loop_monitor::fiber_runs(moment due)
{
    note_run(fibers_, "fiber", due);
}

void loop_monitor::note_run(lateness_figures& figures, const char* what,
                            moment due)
{
    const auto late = now_() - due;
    if (late < late_after)
    {
        return;
    }
    ++figures.count;
    figures.longest = std::max(figures.longest, late);
    log_late(what, late);
}

void loop_monitor::log_late(const char* what, microseconds late)
{
    const auto now = now_();
    if (now < last_line_ + line_interval)
    {
        return;
    }
    last_line_ = now;
    const auto queues = queues_ ? queues_() : loop_queues{};
    lines_.write(
        log_level::change, "loop_late",
        {{"what", what},
         {"late_ms", std::to_string(to_ms(late))},
         {"since_renewal_ms", std::to_string(to_ms(queues.since_renewal))},
         {"held", std::to_string(queues.held)},
         {"waiting", std::to_string(queues.waiting)},
         {"sessions", std::to_string(queues.sessions)},
         {"over_ms", std::to_string(to_ms(now - recent_since_))},
         {"work", describe_work()}});
    recent_ = {};
    recent_since_ = now;
}

/// Lists the recent work by kind: how often, and how long in all.
std::string loop_monitor::describe_work() const
{
    std::string text;
    for (std::size_t i = 0; i < loop_work_kinds; ++i)
    {
        const auto& figures = recent_.at(i);
        if (figures.count != 0)
        {
            text += text.empty() ? "" : ", ";
            text += std::string(names.at(i)) + ' ' +
                    std::to_string(figures.count) + " in " +
                    std::to_string(figures.time.count()) + " us";
        }
    }
    return text;
}

void loop_monitor::print(std::ostream& out) const
{
    out << "# TYPE tanagerhoist_loop_work_seconds summary\n";
    for (std::size_t i = 0; i < loop_work_kinds; ++i)
    {
        const auto label = std::string("{kind=\"") + names.at(i) + "\"} ";
        out << "tanagerhoist_loop_work_seconds_sum" << label
            << seconds(total_.at(i).time) << '\n'
            << "tanagerhoist_loop_work_seconds_count" << label
            << total_.at(i).count << '\n';
    }
    out << "# TYPE tanagerhoist_loop_late_total counter\n"
        << "tanagerhoist_loop_late_total{what=\"timer\"} " << timers_.count
        << "\ntanagerhoist_loop_late_total{what=\"fiber\"} " << fibers_.count
        << "\n# TYPE tanagerhoist_loop_late_longest_seconds gauge\n"
        << "tanagerhoist_loop_late_longest_seconds{what=\"timer\"} "
        << seconds(timers_.longest)
        << "\ntanagerhoist_loop_late_longest_seconds{what=\"fiber\"} "
        << seconds(fibers_.longest) << '\n';
}

} // namespace tanagerhoist

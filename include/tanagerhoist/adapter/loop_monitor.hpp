#ifndef TANAGERHOIST_ADAPTER_LOOP_MONITOR_HPP
#define TANAGERHOIST_ADAPTER_LOOP_MONITOR_HPP

#include "tanagerhoist/core/structured_log.hpp"
#include "tanagerhoist/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>

namespace tanagerhoist
{

/// Kinds of work that share a daemon's event loop.
enum class loop_work
{
    report,        ///< a VM's report to the coordinator
    grant_request, ///< a VM's request to the coordinator, with its answer
    view,          ///< the coordinator's view, at the VM that receives it
    grant_reply,   ///< the coordinator's answer to a grant request
    view_sent,     ///< building and sending a view
    report_sent,   ///< building and sending a report
    request_sent,  ///< building and sending a grant request
    client,        ///< a line from a client
    server,        ///< a line from a backend server
    tick           ///< timeouts and retries of sessions
};
constexpr std::size_t loop_work_kinds = 10;

const char* loop_work_name(loop_work kind);

/// What waits in a daemon, for log lines.
struct loop_queues
{
    std::size_t held = 0;    ///< statements that wait for a grant
    std::size_t waiting = 0; ///< statements that wait for a server
    std::size_t sessions = 0;
    microseconds since_renewal{0}; ///< since the last renewal of a lease began
};

/// Measures how late an event loop runs what is due, and what takes its time.
/// Writes a log line when it runs late, at most one a second. Not thread-safe.
class loop_monitor
{
public:
    using clock = std::function<moment()>;

    loop_monitor(structured_log& lines, clock now);

    /// Measures one piece of work, from construction to destruction.
    class measurement
    {
    public:
        measurement(loop_monitor& monitor, loop_work kind);
        ~measurement();
        measurement(const measurement&) = delete;
        measurement& operator=(const measurement&) = delete;

    private:
        loop_monitor& monitor_;
        loop_work kind_;
        moment begun_;
    };

    /// Sets the source of the queue lengths in log lines.
    void watch(std::function<loop_queues()> queues);

    /// Notes that a timer callback that was due at `due` runs now.
    void timer_runs(moment due);

    /// Notes that a fiber that was due at `due` runs now.
    void fiber_runs(moment due);

    /// Writes all figures in the Prometheus text format.
    void print(std::ostream& out) const;

private:
    struct work_figures
    {
        std::uint64_t count = 0;
        microseconds time{0};
    };
    using work_table = std::array<work_figures, loop_work_kinds>;
    struct lateness_figures
    {
        std::uint64_t count = 0; ///< runs that were late
        microseconds longest{0};
    };

    void add(loop_work kind, microseconds took);
    void note_run(lateness_figures& figures, const char* what, moment due);
    void log_late(const char* what, microseconds late);
    std::string describe_work() const;

    structured_log& lines_;
    clock now_;
    std::function<loop_queues()> queues_;
    work_table total_{};
    work_table recent_{}; ///< since the last log line, or at most a second
    moment recent_since_{};
    moment last_line_{};
    lateness_figures timers_;
    lateness_figures fibers_;
};

} // namespace tanagerhoist

#endif

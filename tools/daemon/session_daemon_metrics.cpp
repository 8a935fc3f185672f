#include "server_metrics.hpp"
#include "session_daemon.hpp"

#include <chrono>
#include <sstream>
#include <string>

// The metrics of a daemon that serves sessions.
namespace tanagerhoist
{

namespace
{

/// Prints the histograms of statement times by route and outcome.
void print_statement_times(std::ostream& out, const proxy_counters& figures)
{
    out << "# TYPE tanagerhoist_statement_seconds histogram\n";
    for (const auto& [labels, histogram] : figures.answers)
    {
        const std::string pair =
            "route=\"" + labels.first + "\",outcome=\"" + labels.second + '"';
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < latency_histogram::buckets; ++i)
        {
            sum += histogram.count(i);
            const bool last = i + 1 == latency_histogram::buckets;
            out << "tanagerhoist_statement_seconds_bucket{" << pair << ",le=\"";
            if (last)
            {
                out << "+Inf";
            }
            else
            {
                out << std::chrono::duration<double>(
                           latency_histogram::bound(i))
                           .count();
            }
            out << "\"} " << sum << '\n';
        }
        out << "tanagerhoist_statement_seconds_sum{" << pair << "} "
            << std::chrono::duration<double>(histogram.sum()).count() << '\n'
            << "tanagerhoist_statement_seconds_count{" << pair << "} " << sum
            << '\n';
    }
}

} // namespace

/// HTTP connections, of all ports, closed to make room for another one.
std::uint64_t session_daemon::http_closed() const
{
    return readiness_.closed() + peers_.closed() +
           (metrics_ ? metrics_->closed() : 0);
}

/// Logs at most once a second how many have been closed.
void session_daemon::log_http_closed(moment now)
{
    if (const auto rise = http_closed_rise_.take(now, http_closed()); rise != 0)
    {
        lines_.write(log_level::change, "http_closed",
                     {{"count", std::to_string(rise)}});
    }
}

/// Connections that could not be accepted, by port.
std::map<std::string, const accept_errors*>
session_daemon::failed_accepts() const
{
    std::map<std::string, const accept_errors*> failed{
        {"sessions", &failed_accepts_},
        {"readiness", &readiness_.failed_accepts()},
        {"peers", &peers_.failed_accepts()}};
    if (metrics_)
    {
        failed["metrics"] = &metrics_->failed_accepts();
    }
    return failed;
}

/// Logs at most once a second and port how many could not be accepted.
void session_daemon::log_failed_accepts(moment now)
{
    for (const auto& [port, failed] : failed_accepts())
    {
        const auto rise =
            failed_accepts_rises_[port].take(now, failed->count());
        if (rise != 0)
        {
            lines_.write(log_level::change, "accept_failed",
                         {{"port", port},
                          {"count", std::to_string(rise)},
                          {"cause", failed->last()}});
        }
    }
}

std::string session_daemon::metrics_text() const
{
    const auto& figures = proxy_.figures();
    std::ostringstream out;
    const auto counter = [&out](const char* name, std::uint64_t value) {
        out << "# TYPE " << name << " counter\n"
            << name << ' ' << value << '\n';
    };
    counter("tanagerhoist_sessions_started_total", figures.sessions_started);
    counter("tanagerhoist_server_connections_opened_total",
            figures.connections_opened);
    counter("tanagerhoist_retries_total", figures.retries);
    counter("tanagerhoist_second_tries_total", figures.second_tries);
    counter("tanagerhoist_warmup_requests_total", figures.warmup_requests);
    counter("tanagerhoist_warmup_refusals_total", figures.warmup_refusals);
    counter("tanagerhoist_handed_operations_total", fleet_.pool().handed());
    counter("tanagerhoist_deputy_grants_total", fleet_.pool().granted());
    counter("tanagerhoist_unsent_handovers_total",
            fleet_.handover().unsent_messages());
    counter("tanagerhoist_unsent_operations_total",
            fleet_.handover().unsent_operations());
    out << "# TYPE tanagerhoist_servers_warming gauge\n"
        << "tanagerhoist_servers_warming " << figures.servers_warming << '\n';
    print_servers(out, now_(), proxy_);
    counter("tanagerhoist_log_lines_dropped_total", lines_.dropped());
    counter("tanagerhoist_http_connections_closed_total", http_closed());
    out << "# TYPE tanagerhoist_accept_errors_total counter\n";
    for (const auto& [port, failed] : failed_accepts())
    {
        out << "tanagerhoist_accept_errors_total{port=\"" << port << "\"} "
            << failed->count() << '\n';
    }
    monitor_.print(out);
    session_transport_.print(out);
    out << "# TYPE tanagerhoist_refusals_total counter\n";
    for (const auto& [cause, count] : figures.refusals)
    {
        out << "tanagerhoist_refusals_total{cause=\"" << cause << "\"} "
            << count << '\n';
    }
    out << "# TYPE tanagerhoist_answers_not_taken_total counter\n";
    for (std::size_t i = 1; i < answer_faults; ++i)
    {
        out << "tanagerhoist_answers_not_taken_total{cause=\""
            << to_text(static_cast<answer_fault>(i)) << "\"} "
            << figures.faults.at(i) << '\n';
    }
    print_statement_times(out, figures);
    return out.str();
}

} // namespace tanagerhoist

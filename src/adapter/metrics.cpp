#include "tanagerhoist/adapter/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <sstream>

namespace tanagerhoist
{
namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.9, 0.99};

void gauge(std::ostream& out, const char* name, const char* help,
           std::uint64_t value)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " gauge\n"
        << name << ' ' << value << '\n';
}

void counter(std::ostream& out, const char* name, const char* help,
             std::uint64_t value)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name
        << " counter\n"
        << name << ' ' << value << '\n';
}

} // namespace

struct metrics::distribution
{
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::max, acc::tag::extended_p_square>>
        values{acc::extended_p_square_probabilities = quantiles};

    void print(std::ostream& out, const char* name, const char* help) const
    {
        out << "# HELP " << name << ' ' << help << "\n# TYPE " << name
            << " summary\n";
        const auto estimates = acc::extended_p_square(values);
        for (std::size_t i = 0; i < quantiles.size(); ++i)
        {
            out << name << "{quantile=\"" << quantiles.at(i) << "\"} "
                << estimates[static_cast<std::ptrdiff_t>(i)] << '\n';
        }
        out << name << "_sum " << acc::sum(values) << '\n'
            << name << "_count " << acc::count(values) << '\n';
    }
};

metrics::metrics()
    : latency_(std::make_unique<distribution>()),
      decision_(std::make_unique<distribution>())
{
}

metrics::~metrics() = default;

void metrics::count_answer(result_code code, microseconds took)
{
    answers_.at(static_cast<std::size_t>(code))
        .fetch_add(1, std::memory_order_relaxed);
    const std::lock_guard lock(mutex_);
    latency_->values(static_cast<double>(took.count()));
}

void metrics::count_input(microseconds took)
{
    const std::lock_guard lock(mutex_);
    decision_->values(static_cast<double>(took.count()));
}

void metrics::count_peer_message(bool sent, std::size_t bytes)
{
    auto& count = sent ? peer_sent_ : peer_received_;
    auto& volume = sent ? peer_sent_bytes_ : peer_received_bytes_;
    count.fetch_add(1, std::memory_order_relaxed);
    volume.fetch_add(bytes, std::memory_order_relaxed);
}

void metrics::count_dropped_records(std::uint64_t count)
{
    dropped_.fetch_add(count, std::memory_order_relaxed);
}

void metrics::set_node_metrics(const node_metrics& current)
{
    const std::lock_guard lock(mutex_);
    node_ = current;
}

std::uint64_t metrics::incarnation() const
{
    const std::lock_guard lock(mutex_);
    return node_.incarnation;
}

std::uint64_t metrics::answers_with(outcome value) const
{
    std::uint64_t sum = 0;
    for (const auto* row = begin_results(); row != end_results(); ++row)
    {
        if (row->outcome == value)
        {
            sum += answers_.at(static_cast<std::size_t>(row->code)).load();
        }
    }
    return sum;
}

std::string metrics::text() const
{
    std::ostringstream out;
    out << "# HELP tanagerhoist_answers_total answers to callers\n"
           "# TYPE tanagerhoist_answers_total counter\n";
    for (const auto* row = begin_results(); row != end_results(); ++row)
    {
        const auto index = static_cast<std::size_t>(row->code);
        out << "tanagerhoist_answers_total{code=\"" << index << "\",name=\""
            << row->name << "\",outcome=\"" << name(row->outcome) << "\"} "
            << answers_.at(index).load() << '\n';
    }
    counter(out, "tanagerhoist_peer_sent_total", "messages to peers",
            peer_sent_);
    counter(out, "tanagerhoist_peer_sent_bytes_total", "bytes to peers",
            peer_sent_bytes_);
    counter(out, "tanagerhoist_peer_received_total", "messages from peers",
            peer_received_);
    counter(out, "tanagerhoist_peer_received_bytes_total", "bytes from peers",
            peer_received_bytes_);
    counter(out, "tanagerhoist_records_dropped_total",
            "events and inputs dropped by the memory bound", dropped_);
    const std::lock_guard lock(mutex_);
    gauge(out, "tanagerhoist_incarnation", "number of this life of the VM",
          node_.incarnation);
    gauge(out, "tanagerhoist_settings_version", "settings in force",
          node_.settings_version);
    gauge(out, "tanagerhoist_requests_in_flight", "requests without an answer",
          node_.requests_in_flight);
    gauge(out, "tanagerhoist_serving_vms", "VMs heard to serve",
          node_.serving_vms);
    gauge(out, "tanagerhoist_may_serve", "1 unless isolated",
          node_.may_serve ? 1 : 0);
    latency_->print(out, "tanagerhoist_request_microseconds",
                    "time from a request's arrival to its answer");
    decision_->print(out, "tanagerhoist_decision_microseconds",
                     "time of one input in the decision layer");
    return out.str();
}

std::string metrics::summary() const
{
    std::ostringstream out;
    out << "served=" << answers_with(outcome::served)
        << " not_run=" << answers_with(outcome::not_run)
        << " unknown=" << answers_with(outcome::unknown)
        << " caller_error=" << answers_with(outcome::caller_error);
    const std::lock_guard lock(mutex_);
    out << " in_flight=" << node_.requests_in_flight
        << " settings=" << node_.settings_version
        << " vms=" << node_.serving_vms << " incarnation=" << node_.incarnation;
    return out.str();
}

} // namespace tanagerhoist

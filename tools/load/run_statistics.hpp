#ifndef TANAGERHOIST_TOOLS_LOAD_RUN_STATISTICS_HPP
#define TANAGERHOIST_TOOLS_LOAD_RUN_STATISTICS_HPP

#include "tanagerhoist/core/time.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>

namespace tanagerhoist::load
{

using instant = std::chrono::steady_clock::time_point;

/// What callers counted, by outcome. The outcomes add up to `sent`.
struct outcome_counts
{
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t caller_error = 0;
    std::uint64_t no_answer = 0;

    std::uint64_t outcome_sum() const
    {
        return served + not_run + unknown + caller_error + no_answer;
    }

    /// Counts the outcome of one request, as answers name it; empty if no
    /// answer came.
    void add(const std::string& outcome);
};

/// Tells whether a stream of requests stays inside a rate and a burst.
class reference_bucket
{
public:
    reference_bucket(double rate, double burst, instant start);

    /// Takes one request. False: it exceeds the rate and burst.
    bool conforms(instant now);

private:
    double rate_; ///< requests per second
    double burst_;
    double tokens_;
    instant last_;
};

/// What callers saw of one workspace.
struct workspace_statistics
{
    workspace_statistics(double rate, double burst, instant start);

    outcome_counts counts;
    std::uint64_t within_limit = 0; ///< requests inside rate and burst
    reference_bucket reference;

    /// Adds the time that a served request took.
    void add_latency(std::chrono::microseconds time);

    /// Estimated times that 50 % and 99 % of served requests did not exceed.
    std::array<std::chrono::microseconds, 2> median_and_p99() const;

    /// Requests refused as not run although rate and burst allowed so many
    /// more. Which one of a flood is refused makes no difference.
    std::uint64_t refused_within_limit() const;

    /// Part of the requests that it was entitled to and that were served.
    double served_share() const;

private:
    boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>
        latencies_;
};

/// What callers saw of one database.
struct database_statistics
{
    explicit database_statistics(instant start) : last_write(start) {}

    std::string primary; ///< server that acknowledged a write last
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    instant last_write;
    std::chrono::microseconds longest_gap{};

    /// A write was acknowledged, or the run has ended.
    void record_write(instant now);

    /// A read was served by `server`.
    void record_read(const std::string& server);
};

/// All that callers saw in a run.
struct run_statistics
{
    std::map<std::string, workspace_statistics> workspaces;
    std::map<std::string, database_statistics> databases;
    std::map<std::uint32_t, std::uint64_t> codes; ///< answers by result code
    std::uint64_t stale_reads = 0; ///< lacked a write acknowledged before

    /// Sums over all workspaces.
    outcome_counts total() const;

    void print(std::ostream& out) const;

private:
    void print_workspaces(std::ostream& out) const;
    void print_databases(std::ostream& out) const;
};

} // namespace tanagerhoist::load

#endif

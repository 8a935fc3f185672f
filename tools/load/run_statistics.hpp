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

/// Requests sent and their outcomes as callers saw them. The outcomes add up to
/// `sent`.
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

    /// Counts one request.
    /// @param outcome as in the reply; empty if none arrived
    void add(const std::string& outcome);
};

/// Token bucket that tells which requests conform to a rate and a burst.
class reference_bucket
{
public:
    reference_bucket(double rate, double burst, instant start);

    /// Takes a token for one request; false if none is available.
    bool conforms(instant now);

private:
    double rate_; ///< requests per second
    double burst_;
    double tokens_;
    instant last_;
};

/// Client-side statistics of one workspace.
struct workspace_statistics
{
    workspace_statistics(double rate, double burst, instant start);

    outcome_counts counts;
    std::uint64_t within_limit = 0; ///< requests that conform to rate and burst
    reference_bucket reference;

    /// Adds the latency of a served request.
    void add_latency(std::chrono::microseconds time);

    /// Estimated 50 % and 99 % quantiles of the latency of served requests.
    std::array<std::chrono::microseconds, 2> median_and_p99() const;

    /// Requests answered "not run" although rate and burst allowed that many
    /// more. Compares numbers only: it makes no difference which requests of a
    /// flood are refused.
    std::uint64_t refused_within_limit() const;

    /// Served requests as a fraction of the conforming ones, at most 1.
    double served_share() const;

private:
    boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>
        latencies_;
};

/// Client-side statistics of one database.
struct database_statistics
{
    explicit database_statistics(instant start) : last_write(start) {}

    std::string primary; ///< server that acknowledged the latest write
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    instant last_write;
    std::chrono::microseconds longest_gap{}; ///< between acknowledged writes

    /// Records an acknowledged write or the end of the run.
    void record_write(instant now);

    /// Records a read that `server` served.
    void record_read(const std::string& server);
};

/// Client-side statistics of a run.
struct run_statistics
{
    std::map<std::string, workspace_statistics> workspaces;
    std::map<std::string, database_statistics> databases;
    std::map<std::uint32_t, std::uint64_t> codes; ///< answers by result code
    /// Reads that lacked an acknowledged write of their session.
    std::uint64_t stale_reads = 0;

    /// Sum over all workspaces.
    outcome_counts total() const;

    void print(std::ostream& out) const;

private:
    void print_workspaces(std::ostream& out) const;
    void print_databases(std::ostream& out) const;
};

} // namespace tanagerhoist::load

#endif

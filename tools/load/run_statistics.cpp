#include "run_statistics.hpp"

#include <algorithm>
#include <iomanip>

namespace tanagerhoist::load
{
namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 2> quantiles{0.5, 0.99};
constexpr int decimal_places = 3;

using outcome_member = std::uint64_t outcome_counts::*;
constexpr std::pair<const char*, outcome_member> outcomes[] = {
    {"served", &outcome_counts::served},
    {"not run", &outcome_counts::not_run},
    {"unknown", &outcome_counts::unknown},
    {"caller error", &outcome_counts::caller_error},
    {"", &outcome_counts::no_answer}};

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 1.0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

double to_ms(std::chrono::microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

void outcome_counts::add(const std::string& outcome)
{
    ++sent;
    for (const auto& [name, member] : outcomes)
    {
        if (outcome == name)
        {
            ++(this->*member);
        }
    }
}

reference_bucket::reference_bucket(double rate, double burst, instant start)
    : rate_(rate), burst_(burst), tokens_(burst), last_(start)
{
}

bool reference_bucket::conforms(instant now)
{
    const std::chrono::duration<double> passed = now - last_;
    last_ = now;
    tokens_ = std::min(burst_, tokens_ + rate_ * passed.count());
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

workspace_statistics::workspace_statistics(double rate, double burst,
                                           instant start)
    : reference(rate, burst, start),
      latencies_(acc::extended_p_square_probabilities = quantiles)
{
}

void workspace_statistics::add_latency(std::chrono::microseconds time)
{
    latencies_(static_cast<double>(time.count()));
}

std::array<std::chrono::microseconds, 2>
workspace_statistics::median_and_p99() const
{
    const auto estimates = acc::extended_p_square(latencies_);
    return {std::chrono::microseconds(std::int64_t(estimates[0])),
            std::chrono::microseconds(std::int64_t(estimates[1]))};
}

std::uint64_t workspace_statistics::refused_within_limit() const
{
    return std::min(counts.not_run,
                    within_limit - std::min(within_limit, counts.served));
}

double workspace_statistics::served_share() const
{
    return ratio(std::min(counts.served, within_limit), within_limit);
}

void database_statistics::record_write(instant now)
{
    longest_gap = std::max(
        longest_gap, std::chrono::duration_cast<std::chrono::microseconds>(
                         now - last_write));
    last_write = now;
}

void database_statistics::record_read(const std::string& server)
{
    ++reads;
    if (!primary.empty() && server != primary)
    {
        ++replica_reads;
    }
}

outcome_counts run_statistics::total() const
{
    outcome_counts sum;
    for (const auto& [name, statistics] : workspaces)
    {
        sum.sent += statistics.counts.sent;
        for (const auto& [outcome, member] : outcomes)
        {
            sum.*member += statistics.counts.*member;
        }
    }
    return sum;
}

void run_statistics::print_workspaces(std::ostream& out) const
{
    for (const auto& [name, statistics] : workspaces)
    {
        const auto times = statistics.median_and_p99();
        out << "workspace " << name << ": sent " << statistics.counts.sent
            << ", served " << statistics.counts.served << ", not run "
            << statistics.counts.not_run << ", within rate "
            << statistics.within_limit << ", p50 " << to_ms(times[0])
            << " ms, p99 " << to_ms(times[1]) << " ms\n";
    }
}

void run_statistics::print_databases(std::ostream& out) const
{
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    for (const auto& [name, statistics] : databases)
    {
        reads += statistics.reads;
        replica_reads += statistics.replica_reads;
        out << "database " << name << ": longest gap in acknowledged writes "
            << to_ms(statistics.longest_gap) << " ms\n";
    }
    out << "reads served by replicas: " << replica_reads << " of " << reads
        << " (" << ratio(replica_reads, reads) << ")\n";
}

void run_statistics::print(std::ostream& out) const
{
    out << std::fixed << std::setprecision(decimal_places);
    const auto sum = total();
    out << "sent " << sum.sent << " = served " << sum.served << " + not run "
        << sum.not_run << " + unknown " << sum.unknown << " + caller error "
        << sum.caller_error << " + no answer " << sum.no_answer << '\n';
    for (const auto& [code, count] : codes)
    {
        out << "code " << code << ": " << count << '\n';
    }
    print_workspaces(out);
    print_databases(out);
    const auto worst = std::min_element(
        workspaces.begin(), workspaces.end(),
        [](const auto& a, const auto& b)
        { return a.second.served_share() < b.second.served_share(); });
    std::uint64_t refused = 0;
    for (const auto& [name, statistics] : workspaces)
    {
        refused += statistics.refused_within_limit();
    }
    if (worst != workspaces.end())
    {
        out << "worst-served workspace: " << worst->first << ", "
            << worst->second.served_share() << " of its requests within rate\n";
    }
    out << "refused although within rate: " << refused
        << "\nreads that lacked an acknowledged write of their session: "
        << stale_reads << '\n';
}

} // namespace tanagerhoist::load

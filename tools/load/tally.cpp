#include "tally.hpp"

#include <algorithm>
#include <iomanip>

namespace tanagerhoist::load
{
namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 2> quantiles{0.5, 0.99};
constexpr int shown_digits = 3;

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

double ms(std::chrono::microseconds time)
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

reference_rate::reference_rate(double rate, double burst, instant start)
    : rate_(rate), burst_(burst), tokens_(burst), last_(start)
{
}

bool reference_rate::inside(instant now)
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

workspace_tally::workspace_tally(double rate, double burst, instant start)
    : reference(rate, burst, start),
      times_(acc::extended_p_square_probabilities = quantiles)
{
}

void workspace_tally::took(std::chrono::microseconds time)
{
    times_(static_cast<double>(time.count()));
}

std::array<std::chrono::microseconds, 2> workspace_tally::median_and_p99() const
{
    const auto estimates = acc::extended_p_square(times_);
    return {std::chrono::microseconds(std::int64_t(estimates[0])),
            std::chrono::microseconds(std::int64_t(estimates[1]))};
}

std::uint64_t workspace_tally::inside_refused() const
{
    return std::min(all.not_run, inside - std::min(inside, all.served));
}

double workspace_tally::served_share() const
{
    return ratio(std::min(all.served, inside), inside);
}

void database_tally::write_at(instant now)
{
    longest_gap = std::max(
        longest_gap, std::chrono::duration_cast<std::chrono::microseconds>(
                         now - last_write));
    last_write = now;
}

void database_tally::read_by(const std::string& server)
{
    ++reads;
    if (!primary.empty() && server != primary)
    {
        ++replica_reads;
    }
}

outcome_counts tally::total() const
{
    outcome_counts sum;
    for (const auto& [name, seen] : workspaces)
    {
        sum.sent += seen.all.sent;
        for (const auto& [outcome, member] : outcomes)
        {
            sum.*member += seen.all.*member;
        }
    }
    return sum;
}

void tally::print_workspaces(std::ostream& out) const
{
    for (const auto& [name, seen] : workspaces)
    {
        const auto times = seen.median_and_p99();
        out << "workspace " << name << ": sent " << seen.all.sent << ", served "
            << seen.all.served << ", not run " << seen.all.not_run
            << ", inside rate " << seen.inside << ", p50 " << ms(times[0])
            << " ms, p99 " << ms(times[1]) << " ms\n";
    }
}

void tally::print_databases(std::ostream& out) const
{
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    for (const auto& [name, seen] : databases)
    {
        reads += seen.reads;
        replica_reads += seen.replica_reads;
        out << "database " << name << ": longest gap in acknowledged writes "
            << ms(seen.longest_gap) << " ms\n";
    }
    out << "reads served by replicas: " << replica_reads << " of " << reads
        << " (" << ratio(replica_reads, reads) << ")\n";
}

void tally::print(std::ostream& out) const
{
    out << std::fixed << std::setprecision(shown_digits);
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
    for (const auto& [name, seen] : workspaces)
    {
        refused += seen.inside_refused();
    }
    if (worst != workspaces.end())
    {
        out << "worst-served workspace: " << worst->first << ", "
            << worst->second.served_share() << " of what it may ask\n";
    }
    out << "refused although inside the rate: " << refused
        << "\nreads that lacked an own acknowledged write: " << stale_reads
        << '\n';
}

} // namespace tanagerhoist::load

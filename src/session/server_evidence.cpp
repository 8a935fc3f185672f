#include "tanagerhoist/session/server_evidence.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerhoist
{
namespace
{

/// Answered statements that are assumed of a server of which nothing is known.
constexpr double assumed_answers = 4;

/// One answer that took very long does not make a server slow.
constexpr double most_slowness = 10;

} // namespace

double server_evidence::decay(moment now) const
{
    const auto passed = std::max(microseconds(0), now - dated_);
    return std::exp2(-std::chrono::duration<double>(passed) /
                     std::chrono::duration<double>(half_life));
}

void server_evidence::decay_to(moment now)
{
    const double factor = decay(now);
    for (auto& count : counts_)
    {
        count *= factor;
    }
    slowness_sum_ *= factor;
    slowness_count_ *= factor;
    dated_ = std::max(dated_, now);
}

void server_evidence::add(moment now, server_outcome outcome, double count)
{
    decay_to(now);
    counts_.at(static_cast<std::size_t>(outcome)) += count;
}

void server_evidence::add_slowness(moment now, double times, double count)
{
    decay_to(now);
    slowness_sum_ += std::min(times, most_slowness) * count;
    slowness_count_ += count;
}

double server_evidence::failing_share(moment now) const
{
    const auto count = [this](server_outcome outcome)
    { return counts_.at(static_cast<std::size_t>(outcome)); };
    const double failed = count(server_outcome::no_answer) +
                          count(server_outcome::reset) +
                          count(server_outcome::failed);
    const double part = decay(now);
    return failed * part /
           (assumed_answers +
            (failed + count(server_outcome::answered)) * part);
}

double server_evidence::slowness(moment now) const
{
    const double part = decay(now);
    return (assumed_answers + slowness_sum_ * part) /
           (assumed_answers + slowness_count_ * part);
}

} // namespace tanagerhoist

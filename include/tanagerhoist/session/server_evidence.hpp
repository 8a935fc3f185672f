#ifndef TANAGERHOIST_SESSION_SERVER_EVIDENCE_HPP
#define TANAGERHOIST_SESSION_SERVER_EVIDENCE_HPP

#include "tanagerhoist/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace tanagerhoist
{

/// What became of a statement at a server.
enum class server_outcome
{
    answered,  ///< also with an error that only the statement explains
    no_answer, ///< given up, or its time ran out
    reset,     ///< the connection ended before the answer
    failed,    ///< run and failed
    busy       ///< refused for want of room
};
constexpr std::size_t server_outcomes = 5;

/// What is known of the answers of one server. Older outcomes count less: half
/// after `half_life`, so that a server which was passed over is tried again.
class server_evidence
{
public:
    static constexpr milliseconds half_life{3000};

    void add(moment now, server_outcome outcome, double count = 1);

    /// Notes how long an answer took, as a multiple of what answers of its kind
    /// usually take in the group.
    /// @param count answers of which `times` is the mean
    void add_slowness(moment now, double times, double count = 1);

    /// Expected share (0 to 1) of statements that get no answer or fail. Few
    /// outcomes count as little evidence.
    double failing_share(moment now) const;

    /// Smoothed multiple of the usual answer time; tends to 1 without answers.
    double slowness(moment now) const;

private:
    double decay(moment now) const;
    void decay_to(moment now);

    std::array<double, server_outcomes> counts_{};
    double slowness_sum_ = 0;
    double slowness_count_ = 0;
    moment dated_{};
};

} // namespace tanagerhoist

#endif

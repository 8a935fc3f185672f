#ifndef TANAGERHOIST_SESSION_SERVER_PACE_HPP
#define TANAGERHOIST_SESSION_SERVER_PACE_HPP

#include "tanagerhoist/core/time.hpp"

namespace tanagerhoist
{

/// What all VMs saw of a server within one interval.
struct pace_window
{
    double answered = 0;
    double failed = 0;       ///< also refused for want of room
    double slowness_sum = 0; ///< of the next field
    double timed = 0;        ///< answers with a known multiple of usual times
};

/// Share of its usual work that a server gets after a start or a failure. It
/// begins low, rises by steps while answers keep their time and is halved when
/// they slow down, fail or are refused. Each VM sends that share of what it
/// would send, so the number of VMs does not matter.
class server_pace
{
public:
    /// Some work always reaches a server that answers.
    static constexpr double least = 0.05;

    /// Time that a window covers.
    static constexpr milliseconds interval{400};

    /// The server has just started.
    void begin() { share_ = least; }

    void note(const pace_window& window);

    /// From `least` to 1.
    double share() const { return share_; }

private:
    double share_ = 1;
};

} // namespace tanagerhoist

#endif

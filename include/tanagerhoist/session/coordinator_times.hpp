#ifndef TANAGERHOIST_SESSION_COORDINATOR_TIMES_HPP
#define TANAGERHOIST_SESSION_COORDINATOR_TIMES_HPP

#include "tanagerhoist/core/time.hpp"

// Times of the messages between a VM and its coordinator, from which others
// are derived.
namespace tanagerhoist
{

/// Interval of a VM's reports.
constexpr milliseconds report_interval{400};

/// Interval of reports while a seal waits for the VM.
constexpr milliseconds sealed_report_interval{80};

/// Time within which a reachable coordinator answers a report or a request for
/// grants.
constexpr milliseconds grant_answer_timeout{150};

} // namespace tanagerhoist

#endif

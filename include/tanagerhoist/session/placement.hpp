#ifndef TANAGERHOIST_SESSION_PLACEMENT_HPP
#define TANAGERHOIST_SESSION_PLACEMENT_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace tanagerhoist
{

/// What placing needs to know of one server that could run a statement.
struct placement_candidate
{
    double response_us = 0; ///< smoothed response time seen from this VM
    unsigned running = 0;   ///< statements there from this VM
    unsigned slots = 1;
    bool near = true; ///< in this VM's data centre
    bool primary = false;
    bool has_connection = true; ///< an idle one in the workspace's name
};

/// Chooses the server for a read at moderate and high load: the one with the
/// least expected time, with the primary kept for what only it can run.
/// @return the candidate's index; nothing if there is none
std::optional<std::size_t>
choose_server(const std::vector<placement_candidate>& candidates);

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_SESSION_PLACEMENT_HPP
#define TANAGERHOIST_SESSION_PLACEMENT_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace tanagerhoist
{

/// Inputs to the placement decision for one eligible server.
struct placement_candidate
{
    double response_us = 0; ///< expected time of such a statement there
    double mean_response_us =
        0;                    ///< smoothed, of any statement of this VM there
    double failing_share = 0; ///< of statements there, expected
    unsigned running = 0;     ///< statements of this VM running there
    unsigned slots = 1;
    bool near = true; ///< in this VM's data centre
    bool primary = false;
    bool has_connection = true; ///< an idle connection for the workspace

    /// Whether a new connection stays for further statements.
    bool keeps_connections = true;

    /// Drawn not to get the statement, unless all servers are.
    bool held_back = false;

    /// Part from 0 to 1 drawn for the statement and the server, so that servers
    /// which are as good get as much.
    double spread = 0;
};

/// What a read at a server is expected to cost, in microseconds.
using placement_cost = double (*)(const placement_candidate&);

/// Cost by this VM's own answers. The primary is penalised, to keep its
/// capacity for statements that only it can run.
double cost_by_own_answers(const placement_candidate& server);

/// Cost by what all VMs have seen of the servers. A read that a replica can
/// answer goes there, also over a new connection.
double cost_by_evidence(const placement_candidate& server);

/// Chooses the server with the lowest cost for a read.
/// @return the index of the candidate; nullopt if there are no candidates
std::optional<std::size_t>
choose_server(const std::vector<placement_candidate>& candidates,
              placement_cost cost);

} // namespace tanagerhoist

#endif

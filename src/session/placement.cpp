#include "tanagerhoist/session/placement.hpp"

namespace tanagerhoist
{
namespace
{

constexpr double remote_data_centre_us = 6000; // round trip and transfer
constexpr double scarce_handshake_us = 20000;  // new connection, and its slot
constexpr double kept_handshake_us = 4000;     // its part in one statement
constexpr double primary_factor = 1.5;
constexpr double primary_us = 30000;

/// Time that a statement loses which gets no answer, or fails.
constexpr double failure_us = 300000;

/// More than the costs of servers differ by.
constexpr double held_back_us = 1e9;

/// Largest random addition, so that servers of similar cost share the reads.
constexpr double spread_us = 8000;

/// Factor for the statements of this VM that run at a server.
double queue_factor(const placement_candidate& server)
{
    return 1.0 + static_cast<double>(server.running) /
                     static_cast<double>(server.slots);
}

} // namespace

double cost_by_own_answers(const placement_candidate& server)
{
    double cost = server.mean_response_us * queue_factor(server);
    cost *= server.primary ? primary_factor : 1.0;
    cost += server.near ? 0 : remote_data_centre_us;
    cost += server.has_connection ? 0 : scarce_handshake_us;
    return cost;
}

double cost_by_evidence(const placement_candidate& server)
{
    double cost = server.response_us * queue_factor(server);
    if (server.primary)
    {
        cost = cost * primary_factor + primary_us;
    }
    cost += server.near ? 0 : remote_data_centre_us;
    if (!server.has_connection)
    {
        cost +=
            server.keeps_connections ? kept_handshake_us : scarce_handshake_us;
    }
    cost += server.held_back ? held_back_us : 0;
    return cost + server.failing_share * failure_us + server.spread * spread_us;
}

std::optional<std::size_t>
choose_server(const std::vector<placement_candidate>& candidates,
              placement_cost cost)
{
    std::optional<std::size_t> best;
    double least = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const double expected = cost(candidates[i]);
        if (!best || expected < least)
        {
            best = i;
            least = expected;
        }
    }
    return best;
}

} // namespace tanagerhoist

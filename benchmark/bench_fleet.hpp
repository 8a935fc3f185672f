#ifndef TANAGERHOIST_BENCH_FLEET_HPP
#define TANAGERHOIST_BENCH_FLEET_HPP

#include "standin/fleet.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace tanagerhoist::bench
{

/// Name and limits of a workspace.
struct workspace_size
{
    const char* name;
    std::uint64_t rate; ///< requests per second
    std::uint64_t weight;

    std::uint64_t burst() const { return 2 * rate; }
};

/// Sizes and latencies of a user's deployment.
struct deployment
{
    const char* name;
    std::vector<std::string> data_centres;
    microseconds across;     ///< one-way latency between data centres
    microseconds to_clients; ///< one-way latency
    std::uint64_t slots;
    std::vector<workspace_size> workspaces;
};

/// The deployments of both users.
const std::vector<deployment>& deployments();

inline constexpr std::size_t vm_count = 7;
inline constexpr std::uint64_t connections = 30; ///< per server

std::string vm_name(std::size_t number);

/// Settings with the databases "one", "two" and "three". Each database D has
/// the routes `read-D` (reads what the token requires), `aged-D` (tolerates
/// data up to `tolerated_age` old) and `write-D`.
proto::Settings make_settings(const deployment& user);
inline constexpr milliseconds tolerated_age{2000};

/// The key of a workspace in the form in which callers send it.
std::string credential_of(const workspace_size& workspace);

/// A fleet of the user's size that has reached a steady state.
std::unique_ptr<standin::fleet> make_fleet(const deployment& user,
                                           microseconds service_time,
                                           node_options node = {});

/// Prints a line of the report: the measured value, the baseline and the bound.
/// @return whether the bound is met
bool report(const deployment& user, const std::string& measure, double figure,
            const std::string& baseline, const std::string& bound, bool met);

} // namespace tanagerhoist::bench

#endif

#ifndef TANAGERHOIST_BENCH_FLEET_HPP
#define TANAGERHOIST_BENCH_FLEET_HPP

#include "standin/fleet.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace tanagerhoist::bench
{

struct workspace_size
{
    const char* name;
    std::uint64_t rate; ///< requests per second
    std::uint64_t weight;

    std::uint64_t burst() const { return 2 * rate; }
};

/// Sizes and latencies of one user of the brief.
struct deployment
{
    const char* name;
    std::vector<std::string> data_centres;
    microseconds across;     ///< one way between data centres
    microseconds to_clients; ///< one way
    std::uint64_t slots;
    std::vector<workspace_size> workspaces;
};

/// Both users of the brief.
const std::vector<deployment>& deployments();

inline constexpr std::size_t vm_count = 7;
inline constexpr std::uint64_t connections = 30;

std::string vm_name(std::size_t number);

/// Routes `read-D` (bound by the token), `aged-D` (tolerates `aged_limit`) and
/// `write-D` for each database D of "one", "two" and "three".
proto::Settings make_settings(const deployment& user);
inline constexpr milliseconds tolerated_age{2000};

/// The key of a workspace as its callers present it.
std::string credential_of(const workspace_size& workspace);

/// A fleet of the user's size, settled.
std::unique_ptr<standin::fleet> make_fleet(const deployment& user,
                                           microseconds service_time,
                                           node_options node = {});

/// One line of the report: what was measured beside baseline and bound.
/// @return whether the bound is met
bool report(const deployment& user, const std::string& measure, double figure,
            const std::string& baseline, const std::string& bound, bool met);

} // namespace tanagerhoist::bench

#endif

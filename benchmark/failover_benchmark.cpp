// Failover time on a simulated clock, from the loss of a primary to the next
// acknowledged write, for the deployments of both users. Exits with 1 if a
// bound is exceeded.
#include "standin/failover_simulation.hpp"

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace tanagerhoist;
using standin::failover_simulation;

constexpr milliseconds gap_bound{2000};
constexpr milliseconds write_interval{10};
constexpr milliseconds measurement_timeout{6000};

/// Data centres and latencies of a user's deployment.
struct deployment
{
    const char* name;
    std::vector<std::string> data_centres;
    microseconds between_data_centres; ///< one-way latency
    microseconds within_data_centre;   ///< one-way latency
};

/// A fault that makes the primary unreachable.
struct primary_fault
{
    const char* name;
    void (*inject)(failover_simulation&, const std::string& primary);
};

const std::vector<deployment> deployments{
    {"corrib", {"a", "b", "c"}, microseconds(1000), microseconds(200)},
    {"agency",
     {"edinburgh", "glasgow", "dundee"},
     microseconds(1500),
     microseconds(200)}};

void kill_primary(failover_simulation& simulation, const std::string& primary)
{
    simulation.kill_server(primary);
}

void isolate(failover_simulation& simulation, const std::string& primary)
{
    simulation.isolate(primary);
}

void cut_from_replicas(failover_simulation& simulation,
                       const std::string& primary)
{
    simulation.group(simulation.servers().at(primary)).isolate(primary);
}

const std::vector<primary_fault> primary_faults{
    {"dead", kill_primary},
    {"isolated", isolate},
    {"cut from replicas", cut_from_replicas}};

/// Data centre of an endpoint: the part of its name after the last dash.
std::string data_centre_of(const std::string& endpoint)
{
    return endpoint.substr(endpoint.rfind('-') + 1);
}

std::unique_ptr<failover_simulation> make_simulation(const deployment& user)
{
    constexpr std::size_t vm_count = 7;
    std::vector<std::string> vms;
    for (std::size_t i = 0; i < vm_count; ++i)
    {
        vms.push_back("vm-" + std::to_string(i) + "-" +
                      user.data_centres[i % user.data_centres.size()]);
    }
    std::map<std::string, std::vector<std::string>> groups;
    for (const char* database : {"one", "two", "three"})
    {
        for (const auto& place : user.data_centres)
        {
            groups[database].push_back(std::string(database) + "-" + place);
        }
    }
    const auto delay =
        [user](const std::string& from,
               const std::string& to) -> std::optional<microseconds>
    {
        return data_centre_of(from) == data_centre_of(to)
                   ? user.within_data_centre
                   : user.between_data_centres;
    };
    auto simulation = std::make_unique<failover_simulation>(vms, groups, delay);
    for (const char* database : {"one", "two", "three"})
    {
        simulation->group(database).set_lag(
            std::chrono::ceil<milliseconds>(user.between_data_centres));
    }
    return simulation;
}

/// Source of the term for a promotion.
enum class term_policy
{
    ballot,   ///< from a counter and the incarnation
    reserved, ///< one is reserved; further ones need the platform
    table     ///< each promotion needs the platform
};

struct policy_name
{
    term_policy policy;
    const char* name;
};

const std::vector<policy_name> policies{{term_policy::ballot, "ballot"},
                                        {term_policy::reserved, "reserved"},
                                        {term_policy::table, "table"}};

/// Prevents promotions by removing the incarnation of every VM.
void prevent_promotions(failover_simulation& simulation)
{
    for (const auto& vm : simulation.vms())
    {
        simulation.vm(vm).self.number = 0;
    }
}

/// Sends writes until one is acknowledged.
/// @return time until that acknowledgement, or `measurement_timeout`
milliseconds time_to_write(failover_simulation& simulation,
                           const std::string& database,
                           const std::string& prefix)
{
    const moment lost = simulation.now();
    std::optional<moment> served;
    std::uint64_t id = 0;
    while (!served && simulation.now() - lost < measurement_timeout)
    {
        const auto& vm = simulation.vms()[id % simulation.vms().size()];
        simulation.write(
            vm, database, prefix + std::to_string(id), "APPEND k x",
            milliseconds(1000),
            [&](moment at, standin::write_result result, const proto::LogPoint&)
            {
                if (result == standin::write_result::confirmed && !served)
                {
                    served = at;
                }
            });
        ++id;
        simulation.run_for(write_interval);
    }
    simulation.run_for(milliseconds(2000));
    return std::chrono::ceil<milliseconds>(
        served ? *served - lost : microseconds(measurement_timeout));
}

/// Measures two failovers in a row, the first with the fault at `phase`. The
/// platform is up or down during both.
/// @return failover times as callers see them
std::vector<milliseconds> measure(const deployment& user,
                                  const primary_fault& fault, bool platform,
                                  term_policy policy, milliseconds phase)
{
    auto simulation = make_simulation(user);
    simulation->service().set_down(!platform);
    simulation->run_for(milliseconds(3000) + phase);
    const std::string database = "two";
    std::vector<milliseconds> gaps;
    for (const char* prefix : {"first", "second"})
    {
        const bool needs_new_term =
            policy == term_policy::table || !gaps.empty();
        if (!platform && policy != term_policy::ballot && needs_new_term)
        {
            prevent_promotions(*simulation);
        }
        const auto* belief =
            simulation->vm(simulation->vms().front()).watch->primary(database);
        const std::string primary = belief->server();
        fault.inject(*simulation, primary);
        gaps.push_back(time_to_write(*simulation, database, prefix));
        simulation->heal();
        if (!simulation->group(database).responds(primary))
        {
            simulation->restart_server(primary);
        }
        simulation->run_for(milliseconds(1000));
    }
    return gaps;
}

/// Prints the median and the worst failover time over the phases of the probe
/// interval.
/// @return whether the bound is met
bool report(const deployment& user, const primary_fault& fault, bool platform,
            const policy_name& terms)
{
    constexpr int phases = 200;
    constexpr int phase_step = 13;
    std::vector<milliseconds> first;
    std::vector<milliseconds> second;
    for (int phase = 0; phase < phases; phase += phase_step)
    {
        const auto gaps =
            measure(user, fault, platform, terms.policy, milliseconds(phase));
        first.push_back(gaps.front());
        second.push_back(gaps.back());
    }
    std::sort(first.begin(), first.end());
    std::sort(second.begin(), second.end());
    const bool met = first.back() <= gap_bound && second.back() <= gap_bound;
    std::cout << user.name << ", " << fault.name << ", platform "
              << (platform ? "up" : "down") << ", " << terms.name
              << " terms: first loss median " << first[first.size() / 2].count()
              << " worst " << first.back().count() << ", second loss median "
              << second[second.size() / 2].count() << " worst "
              << second.back().count() << (met ? "" : "  over the bound")
              << '\n';
    return met;
}

} // namespace

int main()
{
    bool met = true;
    std::cout << "failover time in ms, bound " << gap_bound.count()
              << ", measurement timeout " << measurement_timeout.count()
              << '\n';
    for (const auto& user : deployments)
    {
        for (const auto& fault : primary_faults)
        {
            met &= report(user, fault, true, policies.front());
            met &= report(user, fault, false, policies.front());
        }
        // Baselines without a bound: the same failover with other sources of
        // terms.
        report(user, primary_faults.front(), false, policies[1]);
        report(user, primary_faults.front(), false, policies[2]);
    }
    return met ? 0 : 1;
}

// Fleet-wide rate limits on a simulated clock, for the deployments of both
// users. Measures the share of requests that are rejected although an exact
// fleet-wide bucket admits them, and the messages and bytes per VM. The
// baselines are fixed equal slices and a single owner per workspace. Exits with
// 1 if a bound is missed.
#include "standin/limits_simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace tanagerhoist;
using standin::limits_simulation;

constexpr double max_wrongful_share = 0.001;
constexpr std::size_t fleet_size = 7;
constexpr milliseconds warm_up_time{15000};
constexpr milliseconds run_time{60000};
constexpr milliseconds home_interval{5000}; ///< then callers move to another VM
constexpr microseconds step{1000};
constexpr std::uint64_t home_percent = 80;
/// Failure timeout and reclaim_wait.
constexpr milliseconds owner_takeover_time{6000};

/// Rate limit and offered load of a workspace.
struct workspace_load
{
    std::string name;
    std::uint64_t rate;
    std::uint64_t offered; ///< requests per second
};

std::vector<workspace_load> make_workspaces(std::size_t count)
{
    std::vector<workspace_load> all;
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::uint64_t rate = i < 3 ? 200 : 50;
        const std::uint64_t offered = i == 0 ? 5 * rate : rate * 8 / 10;
        all.push_back({"w" + std::to_string(i), rate, offered});
    }
    return all;
}

proto::Settings settings(const std::vector<workspace_load>& all)
{
    proto::Settings made;
    for (const auto& each : all)
    {
        auto& workspace = *made.add_workspace();
        workspace.set_name(each.name);
        workspace.set_rate(each.rate);
        workspace.set_burst(each.rate);
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        auto& database = *made.add_database();
        database.set_name("d" + std::to_string(i));
        database.set_connections(30);
        for (std::size_t j = 0; j < 3; ++j)
        {
            auto& server = *made.add_server();
            server.set_name("s" + std::to_string(3 * i + j));
            server.set_database(database.name());
        }
    }
    return made;
}

/// Generates requests. Most requests of a workspace arrive at its current home
/// VM.
class load_generator
{
public:
    load_generator(std::vector<workspace_load> all, std::size_t vms)
        : workspaces_(std::move(all)), vms_(vms)
    {
    }

    /// Calls `send_request(vm, workspace)` for each request of one step.
    template <class Ask>
    void run_step(moment now, Ask send_request)
    {
        const std::uint64_t turn = to_us(now) / to_us(moment(home_interval));
        for (std::size_t i = 0; i < workspaces_.size(); ++i)
        {
            std::poisson_distribution<int> arrivals(
                static_cast<double>(workspaces_[i].offered) *
                static_cast<double>(step.count()) / 1e6);
            for (int left = arrivals(random_); left > 0; --left)
            {
                const bool home = random_() % 100 < home_percent;
                send_request(home ? (turn * 3 + i) % vms_ : random_() % vms_,
                             workspaces_[i]);
            }
        }
    }

private:
    std::vector<workspace_load> workspaces_;
    std::size_t vms_;
    std::mt19937_64 random_{20261204};
};

struct result
{
    std::uint64_t offered = 0;
    std::uint64_t reference = 0;
    std::uint64_t wrongful = 0;
    /// Lowest ratio of admitted requests to `reference` of any workspace.
    double min_admitted_ratio = 1;
    std::uint64_t max_wait_us = 0;
    double messages = 0; ///< per VM and second
    double bytes = 0;
    double platform_calls = 0;
};

void add(result& sum, const standin::workspace_counts& each)
{
    sum.offered += each.offered;
    sum.reference += each.reference;
    sum.wrongful += each.reference - std::min(each.reference, each.admitted);
    sum.min_admitted_ratio = std::min(sum.min_admitted_ratio,
                                      static_cast<double>(each.admitted) /
                                          static_cast<double>(each.reference));
    sum.max_wait_us = std::max(sum.max_wait_us, each.max_wait_us);
}

double wrongful_share(const result& measured)
{
    return static_cast<double>(measured.wrongful) /
           static_cast<double>(measured.reference);
}

struct scenario
{
    std::size_t vms = fleet_size;
    std::size_t workspaces = 8;
    microseconds across{1000};
    standin::policy_factory policy = []
    { return std::make_unique<demand_policy>(); };
    milliseconds time = run_time;
    bool cold_start = false; ///< count from the start, without warm-up
    /// Kill VM 0 after a third of the time, and replace it.
    bool vm_failure = false;
};

result run(const scenario& options)
{
    const auto all = make_workspaces(options.workspaces);
    limits_simulation simulation({options.vms, 3, options.across,
                                  microseconds(200), milliseconds(100), 1,
                                  options.policy, settings(all)});
    load_generator callers(all, options.vms);
    const auto send_request = [&](std::size_t vm, const workspace_load& each)
    {
        // The load balancer sends requests for a failed VM to the next one.
        simulation.request(simulation.running(vm) ? vm : (vm + 1) % options.vms,
                           each.name);
    };
    const auto run_for = [&](milliseconds span)
    {
        for (const moment end = simulation.now() + span;
             simulation.now() < end;)
        {
            callers.run_step(simulation.now(), send_request);
            simulation.advance(step);
        }
    };
    if (!options.cold_start)
    {
        run_for(warm_up_time);
        simulation.reset_counts();
    }
    run_for(options.time / 3);
    if (options.vm_failure)
    {
        simulation.kill(0);
        run_for(options.time / 6);
        simulation.start(0);
        run_for(options.time / 6);
    }
    run_for(options.vm_failure ? options.time / 3 : options.time * 2 / 3);
    result sum;
    for (const auto& [unused, each] : simulation.counts())
    {
        add(sum, each);
    }
    const double vm_seconds = static_cast<double>(options.vms) *
                              static_cast<double>(options.time.count()) / 1000;
    sum.messages = static_cast<double>(simulation.messages()) / vm_seconds;
    sum.bytes = static_cast<double>(simulation.bytes()) / vm_seconds;
    sum.platform_calls =
        static_cast<double>(simulation.platform_calls()) / vm_seconds;
    return sum;
}

/// Baseline: one VM owns the whole bucket of a workspace, and the other VMs ask
/// it for each request. When the owner fails, its workspaces wait for a new
/// owner, whose bucket starts empty.
result run_owner(const scenario& options)
{
    const auto all = make_workspaces(options.workspaces);
    load_generator callers(all, options.vms);
    std::map<std::string, std::pair<token_bucket, token_bucket>> buckets;
    std::map<std::string, standin::workspace_counts> counts;
    moment now{};
    for (const auto& each : all)
    {
        auto& [own, reference] = buckets[each.name];
        own.use_share(now, each.rate, each.rate, share_parts);
        reference = own;
    }
    std::uint64_t messages = 0;
    const moment start = moment(warm_up_time);
    const moment failure_time = start + options.time / 3;
    const auto send_request = [&](std::size_t vm, const workspace_load& each)
    {
        const std::size_t owner = (each.name.back() - '0') % options.vms;
        auto& [own, reference] = buckets[each.name];
        const bool owner_missing = options.vm_failure && owner == 0 &&
                                   now >= failure_time &&
                                   now < failure_time + owner_takeover_time;
        const bool within_limit = reference.take(now, token_unit);
        if (owner_missing)
        {
            own.take(now, own.tokens(now));
        }
        const bool admitted = !owner_missing && own.take(now, token_unit);
        if (now < start)
        {
            return;
        }
        auto& count = counts[each.name];
        ++count.offered;
        count.reference += within_limit ? 1 : 0;
        count.admitted += admitted ? 1 : 0;
        if (vm != owner)
        {
            messages += 2;
            count.max_wait_us = 2 * to_us(moment(options.across));
        }
    };
    for (; now < start + options.time; now += step)
    {
        callers.run_step(now, send_request);
    }
    result sum;
    for (const auto& [unused, each] : counts)
    {
        add(sum, each);
    }
    sum.messages = static_cast<double>(messages) /
                   static_cast<double>(options.vms) /
                   (static_cast<double>(options.time.count()) / 1000);
    return sum;
}

void print(const char* name, const result& measured)
{
    std::printf("  %-22s offered %7llu  admissible %7llu  wrongful %6llu "
                "(%.3f%%)  worst %.4f  max wait %6.1f ms  per VM and s: "
                "%6.1f messages %8.0f bytes %5.1f platform calls\n",
                name, static_cast<unsigned long long>(measured.offered),
                static_cast<unsigned long long>(measured.reference),
                static_cast<unsigned long long>(measured.wrongful),
                100 * wrongful_share(measured), measured.min_admitted_ratio,
                static_cast<double>(measured.max_wait_us) / 1000,
                measured.messages, measured.bytes, measured.platform_calls);
}

bool compare(const char* user, microseconds across, bool vm_failure)
{
    std::printf("%s, %s\n", user, vm_failure ? "a VM fails" : "no faults");
    scenario options;
    options.across = across;
    options.vm_failure = vm_failure;
    const result demand_based = run(options);
    print("demand-based slices", demand_based);
    options.policy = [] { return std::make_unique<fixed_policy>(); };
    print("fixed equal slices", run(options));
    print("single owner", run_owner(options));
    const bool met = wrongful_share(demand_based) <= max_wrongful_share;
    if (vm_failure)
    {
        std::printf("  no bound for a VM failure\n");
        return true;
    }
    std::printf("  bound %.1f%%: %s\n", 100 * max_wrongful_share,
                met ? "met" : "MISSED");
    return met;
}

void print_slopes()
{
    std::printf("scaling with VMs and workspaces\n");
    for (const std::size_t vms : {7, 14, 28})
    {
        scenario options;
        options.vms = vms;
        options.time = milliseconds(9000);
        print(("VMs " + std::to_string(vms)).c_str(), run(options));
    }
    for (const std::size_t workspaces : {16, 32})
    {
        scenario options;
        options.workspaces = workspaces;
        options.time = milliseconds(9000);
        print(("workspaces " + std::to_string(workspaces)).c_str(),
              run(options));
    }
}

} // namespace

int main()
{
    bool met = true;
    scenario cold_start;
    cold_start.cold_start = true;
    cold_start.time = milliseconds(9000);
    print("cold start", run(cold_start));
    for (const bool vm_failure : {false, true})
    {
        met = compare("corrib", microseconds(1000), vm_failure) && met;
        met = compare("agency", microseconds(1500), vm_failure) && met;
    }
    print_slopes();
    return met ? 0 : 1;
}

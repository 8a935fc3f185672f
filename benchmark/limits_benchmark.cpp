// Fleet-wide limits on an injected clock, at the sizes of both users: requests
// refused although the whole share had room, beside a fixed allotment and a
// single owner per workspace, and the cost in messages and bytes per VM.
// Exits with 1 if a bound is missed.
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

constexpr double wrongful_bound = 0.001;
constexpr std::size_t fleet = 7;
constexpr milliseconds warm_up{15000};
constexpr milliseconds run_time{60000};
constexpr milliseconds home_time{5000}; ///< callers then move to another VM
constexpr microseconds step{1000};
constexpr std::uint64_t home_percent = 80;
constexpr milliseconds owner_change{6000}; ///< timeout and reclaim_wait

/// One tenant: its share and what it asks for.
struct tenant
{
    std::string name;
    std::uint64_t rate;
    std::uint64_t offered; ///< requests per second
};

std::vector<tenant> tenants(std::size_t count)
{
    std::vector<tenant> all;
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::uint64_t rate = i < 3 ? 200 : 50;
        const std::uint64_t offered = i == 0 ? 5 * rate : rate * 8 / 10;
        all.push_back({"w" + std::to_string(i), rate, offered});
    }
    return all;
}

proto::Settings settings(const std::vector<tenant>& all)
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

/// Callers: most of a tenant's requests come through its home VM of the time.
class load
{
public:
    load(std::vector<tenant> all, std::size_t vms)
        : tenants_(std::move(all)), vms_(vms)
    {
    }

    /// Calls `ask(vm, tenant)` for each request of one step.
    template <class Ask>
    void run_step(moment now, Ask ask)
    {
        const std::uint64_t turn = to_us(now) / to_us(moment(home_time));
        for (std::size_t i = 0; i < tenants_.size(); ++i)
        {
            std::poisson_distribution<int> arrivals(
                static_cast<double>(tenants_[i].offered) *
                static_cast<double>(step.count()) / 1e6);
            for (int left = arrivals(random_); left > 0; --left)
            {
                const bool home = random_() % 100 < home_percent;
                ask(home ? (turn * 3 + i) % vms_ : random_() % vms_,
                    tenants_[i]);
            }
        }
    }

private:
    std::vector<tenant> tenants_;
    std::size_t vms_;
    std::mt19937_64 random_{20261204};
};

struct result
{
    std::uint64_t offered = 0;
    std::uint64_t reference = 0;
    std::uint64_t wrongful = 0;
    double worst = 1; ///< lowest admitted / reference of one workspace
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
    sum.worst = std::min(sum.worst, static_cast<double>(each.admitted) /
                                        static_cast<double>(each.reference));
    sum.max_wait_us = std::max(sum.max_wait_us, each.max_wait_us);
}

double share(const result& of)
{
    return static_cast<double>(of.wrongful) / static_cast<double>(of.reference);
}

struct trial
{
    std::size_t vms = fleet;
    std::size_t workspaces = 8;
    microseconds across{1000};
    standin::policy_factory policy = []
    { return std::make_unique<demand_policy>(); };
    milliseconds time = run_time;
    bool fresh = false; ///< counted from the first moment on
    bool death = false; ///< VM 0 dies a third in, and is replaced
};

result run(const trial& of)
{
    const auto all = tenants(of.workspaces);
    limits_simulation scene({of.vms, 3, of.across, microseconds(200),
                             milliseconds(100), 1, of.policy, settings(all)});
    load callers(all, of.vms);
    const auto ask = [&](std::size_t vm, const tenant& each)
    {
        // The balancer sends callers of a dead VM elsewhere.
        scene.request(scene.running(vm) ? vm : (vm + 1) % of.vms, each.name);
    };
    const auto run_for = [&](milliseconds span)
    {
        for (const moment end = scene.now() + span; scene.now() < end;)
        {
            callers.run_step(scene.now(), ask);
            scene.advance(step);
        }
    };
    if (!of.fresh)
    {
        run_for(warm_up);
        scene.reset_counts();
    }
    run_for(of.time / 3);
    if (of.death)
    {
        scene.kill(0);
        run_for(of.time / 6);
        scene.start(0);
        run_for(of.time / 6);
    }
    run_for(of.death ? of.time / 3 : of.time * 2 / 3);
    result sum;
    for (const auto& [unused, each] : scene.counts())
    {
        add(sum, each);
    }
    const double per = static_cast<double>(of.vms) *
                       static_cast<double>(of.time.count()) / 1000;
    sum.messages = static_cast<double>(scene.messages()) / per;
    sum.bytes = static_cast<double>(scene.bytes()) / per;
    sum.platform_calls = static_cast<double>(scene.platform_calls()) / per;
    return sum;
}

/// Baseline: each workspace has one VM that holds all of it, and every request
/// elsewhere asks there. The dead owner's workspaces wait for a new one, whose
/// bucket starts empty.
result run_owner(const trial& of)
{
    const auto all = tenants(of.workspaces);
    load callers(all, of.vms);
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
    const moment start = moment(warm_up);
    const moment death = start + of.time / 3;
    const auto ask = [&](std::size_t vm, const tenant& each)
    {
        const std::size_t owner = (each.name.back() - '0') % of.vms;
        auto& [own, reference] = buckets[each.name];
        const bool lacking = of.death && owner == 0 && now >= death &&
                             now < death + owner_change;
        const bool room = reference.take(now, token_unit);
        if (lacking)
        {
            own.take(now, own.tokens(now));
        }
        const bool admitted = !lacking && own.take(now, token_unit);
        if (now < start)
        {
            return;
        }
        auto& count = counts[each.name];
        ++count.offered;
        count.reference += room ? 1 : 0;
        count.admitted += admitted ? 1 : 0;
        if (vm != owner)
        {
            messages += 2;
            count.max_wait_us = 2 * to_us(moment(of.across));
        }
    };
    for (; now < start + of.time; now += step)
    {
        callers.run_step(now, ask);
    }
    result sum;
    for (const auto& [unused, each] : counts)
    {
        add(sum, each);
    }
    sum.messages = static_cast<double>(messages) / static_cast<double>(of.vms) /
                   (static_cast<double>(of.time.count()) / 1000);
    return sum;
}

void print(const char* name, const result& of)
{
    std::printf("  %-22s offered %7llu  in share %7llu  wrongful %6llu "
                "(%.3f%%)  worst %.4f  longest wait %6.1f ms  per VM and s: "
                "%6.1f messages %8.0f bytes %5.1f platform calls\n",
                name, static_cast<unsigned long long>(of.offered),
                static_cast<unsigned long long>(of.reference),
                static_cast<unsigned long long>(of.wrongful), 100 * share(of),
                of.worst, static_cast<double>(of.max_wait_us) / 1000,
                of.messages, of.bytes, of.platform_calls);
}

bool compare(const char* user, microseconds across, bool death)
{
    std::printf("%s, %s\n", user, death ? "a VM dies" : "no faults");
    trial of;
    of.across = across;
    of.death = death;
    const result moving = run(of);
    print("slices that move", moving);
    of.policy = [] { return std::make_unique<fixed_policy>(); };
    print("fixed equal slices", run(of));
    print("single owner", run_owner(of));
    const bool good = share(moving) <= wrongful_bound;
    if (death)
    {
        std::printf("  no bound is stated for a death\n");
        return true;
    }
    std::printf("  bound %.1f%%: %s\n", 100 * wrongful_bound,
                good ? "met" : "MISSED");
    return good;
}

void print_slopes()
{
    std::printf("slopes over VMs and workspaces\n");
    for (const std::size_t vms : {7, 14, 28})
    {
        trial of;
        of.vms = vms;
        of.time = milliseconds(9000);
        print(("VMs " + std::to_string(vms)).c_str(), run(of));
    }
    for (const std::size_t workspaces : {16, 32})
    {
        trial of;
        of.workspaces = workspaces;
        of.time = milliseconds(9000);
        print(("workspaces " + std::to_string(workspaces)).c_str(), run(of));
    }
}

} // namespace

int main()
{
    bool good = true;
    trial fresh;
    fresh.fresh = true;
    fresh.time = milliseconds(9000);
    print("a fresh fleet", run(fresh));
    for (const bool death : {false, true})
    {
        good = compare("corrib", microseconds(1000), death) && good;
        good = compare("agency", microseconds(1500), death) && good;
    }
    print_slopes();
    return good ? 0 : 1;
}

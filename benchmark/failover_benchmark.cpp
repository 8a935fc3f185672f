// Failover gap on an injected clock: from the loss of a primary to the first
// write that is acknowledged again, at the sizes of both users. Exits with 1
// if a bound is missed.
#include "standin/failover_scene.hpp"

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace tanagerhoist;
using standin::failover_scene;

constexpr milliseconds gap_bound{2000};
constexpr milliseconds write_pace{10};
constexpr milliseconds outer_limit{6000};

/// Sizes and latencies of one user.
struct deployment
{
    const char* name;
    std::vector<std::string> data_centres;
    microseconds across; ///< one way between data centres
    microseconds inside; ///< one way within one
};

/// How the primary is lost.
struct loss
{
    const char* name;
    void (*strike)(failover_scene&, const std::string& primary);
};

const std::vector<deployment> deployments{
    {"corrib", {"a", "b", "c"}, microseconds(1000), microseconds(200)},
    {"agency",
     {"edinburgh", "glasgow", "dundee"},
     microseconds(1500),
     microseconds(200)}};

void die(failover_scene& scene, const std::string& primary)
{
    scene.kill_server(primary);
}

void isolate(failover_scene& scene, const std::string& primary)
{
    scene.isolate(primary);
}

void cut_from_replicas(failover_scene& scene, const std::string& primary)
{
    scene.group(scene.servers().at(primary)).isolate(primary);
}

const std::vector<loss> losses{{"dead", die},
                               {"isolated", isolate},
                               {"cut from replicas", cut_from_replicas}};

/// Endpoints carry their data centre after the last dash.
std::string data_centre(const std::string& endpoint)
{
    return endpoint.substr(endpoint.rfind('-') + 1);
}

std::unique_ptr<failover_scene> make_scene(const deployment& user)
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
               const std::string& to) -> std::optional<microseconds> {
        return data_centre(from) == data_centre(to) ? user.inside : user.across;
    };
    auto scene = std::make_unique<failover_scene>(vms, groups, delay);
    for (const char* database : {"one", "two", "three"})
    {
        scene->group(database).set_lag(
            std::chrono::ceil<milliseconds>(user.across));
    }
    return scene;
}

/// Gap that callers of `database` see when its primary is lost at `phase`.
milliseconds measure(const deployment& user, const loss& how, bool platform,
                     milliseconds phase)
{
    auto scene = make_scene(user);
    scene->service().set_down(!platform);
    scene->run_for(milliseconds(3000) + phase);
    const std::string database = "two";
    const auto* belief =
        scene->vm(scene->vms().front()).watch->primary(database);
    how.strike(*scene, belief->server());
    const moment lost = scene->now();
    std::optional<moment> served;
    std::uint64_t id = 0;
    while (!served && scene->now() - lost < outer_limit)
    {
        const auto& vm = scene->vms()[id % scene->vms().size()];
        scene->write(
            vm, database, "w" + std::to_string(id), "APPEND k x",
            milliseconds(1000),
            [&](moment at, standin::write_result result, const proto::LogPoint&)
            {
                if (result == standin::write_result::confirmed && !served)
                {
                    served = at;
                }
            });
        ++id;
        scene->run_for(write_pace);
    }
    scene->run_for(milliseconds(2000));
    return std::chrono::ceil<milliseconds>(served ? *served - lost
                                                  : microseconds(outer_limit));
}

} // namespace

int main()
{
    bool met = true;
    std::cout << "failover gap in ms, bound " << gap_bound.count()
              << ", outer limit " << outer_limit.count() << '\n';
    for (const auto& user : deployments)
    {
        for (const auto& how : losses)
        {
            for (const bool platform : {true, false})
            {
                std::vector<milliseconds> gaps;
                for (int phase = 0; phase < 200; phase += 7)
                {
                    gaps.push_back(
                        measure(user, how, platform, milliseconds(phase)));
                }
                std::sort(gaps.begin(), gaps.end());
                const bool ok = gaps.back() <= gap_bound;
                met &= ok;
                std::cout << user.name << ", " << how.name << ", platform "
                          << (platform ? "up" : "down") << ": median "
                          << gaps[gaps.size() / 2].count() << ", worst "
                          << gaps.back().count() << (ok ? "" : "  MISSED")
                          << '\n';
            }
        }
    }
    return met ? 0 : 1;
}

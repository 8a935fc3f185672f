#include "bench_fleet.hpp"

#include "tanagerhoist/decision/authenticator.hpp"

#include <cstdio>

namespace tanagerhoist::bench
{

namespace
{

constexpr milliseconds settle_time{4000};
constexpr char secret[] = "bench-secret";

void add_route(proto::Settings& settings, const std::string& kind,
               const std::string& database, milliseconds age)
{
    auto& route = *settings.add_route();
    route.set_name(kind + "-" + database);
    route.set_database(database);
    route.set_kind(kind == "write" ? "write" : "read");
    route.set_idempotent("yes");
    route.set_tolerated_age_ms(to_ms(age));
    route.set_deadline_ms(5000);
}

} // namespace

const std::vector<deployment>& deployments()
{
    static const std::vector<deployment> users{
        {"Corrib",
         {"ie-west-a", "ie-west-b", "ie-west-c"},
         microseconds(1000),
         microseconds(3000),
         5,
         {{"murphy-undertakers", 120, 4},
          {"atlantic-funerals", 100, 4},
          {"corrib-chain", 80, 3},
          {"st-nicholas-parish", 15, 1},
          {"tuam-parish", 15, 1},
          {"westport-parish", 10, 1},
          {"laundry-galway", 20, 1},
          {"laundry-ennis", 20, 1}}},
        {"Agency",
         {"edinburgh", "glasgow", "dundee"},
         microseconds(1500),
         microseconds(1000),
         2,
         {{"university-library", 60, 4},
          {"national-records", 60, 4},
          {"city-archive", 40, 3},
          {"special-collections", 12, 1},
          {"conservation-studio", 12, 1},
          {"county-record-office", 10, 1},
          {"museum-store", 10, 1},
          {"stores-clerks", 20, 1}}}};
    return users;
}

std::string vm_name(std::size_t number)
{
    return "vm" + std::to_string(number + 1);
}

std::string credential_of(const workspace_size& workspace)
{
    return std::string(workspace.name) + "-1." + secret;
}

proto::Settings make_settings(const deployment& user)
{
    proto::Settings settings;
    for (const std::string database : {"one", "two", "three"})
    {
        auto& group = *settings.add_database();
        group.set_name(database);
        group.set_connections(connections);
        group.set_slots(user.slots);
        for (const auto& place : user.data_centres)
        {
            auto& server = *settings.add_server();
            server.set_name(database);
            server.mutable_name()->append("-").append(place);
            server.set_database(database);
            server.set_data_centre(place);
        }
        add_route(settings, "read", database, milliseconds(0));
        add_route(settings, "aged", database, tolerated_age);
        add_route(settings, "write", database, milliseconds(0));
    }
    for (const auto& size : user.workspaces)
    {
        auto& workspace = *settings.add_workspace();
        workspace.set_name(size.name);
        workspace.set_rate(size.rate);
        workspace.set_burst(size.burst());
        workspace.set_weight(size.weight);
        auto& key = *settings.add_key();
        key.set_name(std::string(size.name) + "-1");
        key.set_workspace(size.name);
        key.set_salt("00");
        key.set_hash(key_hash(std::string(1, '\0'), secret));
    }
    return settings;
}

std::unique_ptr<standin::fleet>
make_fleet(const deployment& user, microseconds service_time, node_options node)
{
    standin::fleet_options options;
    for (std::size_t i = 0; i < vm_count; ++i)
    {
        options.vms[vm_name(i)] =
            user.data_centres[i % user.data_centres.size()];
    }
    options.settings = make_settings(user);
    options.across = user.across;
    options.to_clients = user.to_clients;
    options.service_time = service_time;
    options.replica_lag = std::chrono::ceil<milliseconds>(user.across);
    options.node = std::move(node);
    auto made = std::make_unique<standin::fleet>(std::move(options));
    made->run_for(settle_time);
    return made;
}

bool report(const deployment& user, const std::string& measure, double figure,
            const std::string& baseline, const std::string& bound, bool met)
{
    std::printf("%-7s %-46s %9.3f  baseline %-22s bound %-9s%s\n", user.name,
                measure.c_str(), figure, baseline.c_str(), bound.c_str(),
                met ? "" : "  MISSED");
    std::fflush(stdout);
    return met;
}

} // namespace tanagerhoist::bench

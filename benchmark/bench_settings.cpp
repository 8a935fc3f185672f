#include "bench_settings.hpp"

#include "tanagerhoist/decision/authenticator.hpp"

#include <string>

namespace tanagerhoist
{
namespace
{

constexpr std::size_t servers_per_database = 3;
constexpr std::uint64_t connections = 30;
constexpr std::uint64_t slots = 5;
constexpr std::uint64_t first_port = 7101;

void add_database(proto::Settings& settings, const std::string& name)
{
    auto& database = *settings.add_database();
    database.set_name(name);
    database.set_connections(connections);
    database.set_slots(slots);
    for (std::size_t s = 0; s < servers_per_database; ++s)
    {
        auto& server = *settings.add_server();
        server.set_name(name + "-" + std::to_string(s));
        server.set_database(name);
        server.set_address("127.0.0.1");
        server.set_port(first_port + s);
        server.set_data_centre("dc" + std::to_string(s));
    }
    for (const char* kind : {"read", "write"})
    {
        auto& route = *settings.add_route();
        route.set_name(name + "-" + kind);
        route.set_database(name);
        route.set_kind(kind);
        route.set_deadline_ms(5000);
    }
}

void add_workspace(proto::Settings& settings, const std::string& name)
{
    auto& workspace = *settings.add_workspace();
    workspace.set_name(name);
    workspace.set_rate(100000);
    workspace.set_burst(100000);
    workspace.set_weight(1);
    auto& key = *settings.add_key();
    key.set_name(name + "-key");
    key.set_workspace(name);
    key.set_salt("00");
    key.set_hash(key_hash(std::string(1, '\0'), "secret"));
}

} // namespace

proto::Settings generate_settings(const settings_size& size)
{
    proto::Settings settings;
    settings.set_version(1);
    for (std::size_t d = 0; d < size.databases; ++d)
    {
        add_database(settings, "database" + std::to_string(d));
    }
    for (std::size_t w = 0; w < size.workspaces; ++w)
    {
        add_workspace(settings, "workspace" + std::to_string(w));
    }
    return settings;
}

} // namespace tanagerhoist

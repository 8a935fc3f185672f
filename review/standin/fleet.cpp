#include "fleet.hpp"

#include <boost/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <utility>

#include <unistd.h>

namespace tanagerhoist::review
{
namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds start_limit{20000};
constexpr milliseconds poll_interval{20};
constexpr milliseconds client_pause{200};

constexpr std::size_t tenants = 8;
constexpr std::size_t idle_routes = 8;

constexpr std::size_t first_name = 101; // names of equal length

// Last parts of the addresses of this run.
constexpr std::size_t first_vm = 10;
constexpr std::size_t first_server = 100;
constexpr std::size_t platform_host = 200;

/// Loopback address for this run, so that runs do not meet.
std::string address(std::size_t host)
{
    constexpr int low = 250;
    const auto id = static_cast<std::size_t>(getpid());
    return "127." + std::to_string(1 + id / low % low) + '.' +
           std::to_string(1 + id % low) + '.' + std::to_string(host);
}

std::vector<std::string> server_addresses(std::size_t group)
{
    constexpr std::size_t servers = 3;
    std::vector<std::string> found;
    for (std::size_t i = 0; i < servers; ++i)
    {
        found.push_back(address(first_server + group * servers + i));
    }
    return found;
}

std::string group_name(std::size_t group)
{
    return "g" + std::to_string(group + 1);
}

std::vector<std::unique_ptr<database_group>>
make_groups(const server_times& times, store& platform, record& lines)
{
    std::vector<std::unique_ptr<database_group>> groups;
    for (std::size_t i = 0; i < fleet::group_count; ++i)
    {
        groups.push_back(std::make_unique<database_group>(
            group_name(i), server_addresses(i), times, platform, lines));
    }
    return groups;
}

std::string temporary_folder()
{
    auto name = (std::filesystem::temp_directory_path() / "review-XXXXXX");
    auto text = name.string();
    if (mkdtemp(text.data()) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
    return text;
}

json::object route(const std::string& database, const char* type,
                   std::size_t group)
{
    return {{"name", "r-" + database}, {"database", database},
            {"pathPrefix", "/"},       {"type", type},
            {"timeoutMs", 800},        {"targetLatencyMs", 200},
            {"priority", 1},           {"backend", group_name(group)},
            {"attempts", 2},           {"maxStalenessMs", 2500},
            {"public", false}};
}

json::array routes(const std::string& removed)
{
    json::array list;
    const auto add =
        [&](const std::string& database, const char* type, std::size_t group)
    {
        if (database != removed)
        {
            list.emplace_back(route(database, type, group));
        }
    };
    for (std::size_t i = 0; i < fleet::group_count; ++i)
    {
        const auto number = std::to_string(i + 1);
        add("o" + number, "primary", i);
        add("n" + number, "read_your_writes", i);
        add("l" + number, "bounded_staleness", i);
    }
    for (std::size_t i = 0; i < idle_routes; ++i)
    {
        add("idle-" + std::to_string(i), "primary", 0);
    }
    return list;
}

json::array services()
{
    json::array list;
    for (std::size_t i = 0; i < fleet::group_count; ++i)
    {
        list.emplace_back(json::object{
            {"name", group_name(i)}, {"maxConns", 30}, {"syncReplicas", 0}});
    }
    return list;
}

json::array tenant_list()
{
    json::array list;
    for (std::size_t i = 0; i < tenants; ++i)
    {
        list.emplace_back(json::object{{"name", "t" + std::to_string(i)},
                                       {"apiKeys", json::array{key_of(i)}},
                                       {"priority", 1},
                                       {"ratePerS", 119},
                                       {"burst", 119}});
    }
    return list;
}

/// Operations of the clients, in turn.
enum class operation_kind
{
    write,
    read,
    transaction,
    unknown_database, ///< as sessions do that only test the configuration
    count
};

void run_operation(client& session, operation_kind kind,
                   const std::string& group, const std::string& tenant,
                   const std::string& id)
{
    switch (kind)
    {
    case operation_kind::write:
        if (session.open("n" + group, tenant))
        {
            session.query(id, "WRITE row " + id);
        }
        return;
    case operation_kind::read:
        if (session.open("l" + group, tenant))
        {
            session.query(id, "READ row");
        }
        return;
    case operation_kind::transaction:
        if (session.open("o" + group, tenant))
        {
            session.query(id + 'a', "BEGIN");
            session.query(id + 'b', "READ row");
            session.query(id + 'c', "WRITE row " + id);
            session.query(id + 'd', "COMMIT");
        }
        return;
    default:
        session.open("gone-" + group, tenant);
        return;
    }
}

} // namespace

case_options options_of(int count, char** values)
{
    if (count != 3)
    {
        std::cerr << "usage: " << values[0] << " ROOT FOLDER\n";
        std::exit(static_cast<int>(verdict::could_not_run));
    }
    const char* trouble = std::getenv("TROUBLE");
    return {values[1], values[2],
            trouble == nullptr || std::string(trouble) != "0"};
}

fleet::fleet(const case_options& of, std::size_t vms, server_times times,
             store::observer watch)
    : options(of),
      lines(options.folder + "/record.txt"),
      platform(address(platform_host), std::move(watch)),
      groups(make_groups(times, platform, lines)),
      promotions(address(platform_host), group_pointers(), lines),
      folder_(temporary_folder())
{
    const auto peer_port = free_port(address(first_vm));
    for (std::size_t i = 0; i < vms; ++i)
    {
        const auto ip = address(first_vm + i);
        frontends.push_back({ip, free_port(ip)});
        readiness_.push_back({ip, free_port(ip)});
        const placeholders values{
            {"nodeName", "v" + std::to_string(first_name + i)},
            {"zone", "zone-a"},
            {"region", "region-a"},
            {"listen.frontend", ip + ':' + frontends.back().port},
            {"listen.readiness", ip + ':' + readiness_.back().port},
            {"platform.address", platform.endpoint()},
            {"cloud.address", promotions.endpoint()},
            {"internalPorts.0", peer_port},
            {"bounds.graceS", "6"},
            {"bounds.quotaWindowS", "5"},
            {"bounds.quotaOverage", "0.1"},
            {"bounds.quotaSlack", "20"},
            {"bootstrap", "true"},
            {"limits.cpuShare", "0.25"}};
        daemons.push_back(
            std::make_unique<daemon>(options.root, folder_, values, lines));
    }
}

void fleet::end(verdict result)
{
    for (const auto& vm : daemons)
    {
        vm->kill();
    }
    const char* kept = std::getenv("KEEP_LOGS");
    std::error_code ignored;
    if (kept == nullptr)
    {
        std::filesystem::remove_all(folder_, ignored);
    }
    std::_Exit(static_cast<int>(result));
}

bool fleet::start(std::size_t count)
{
    write_config();
    for (const auto& group : groups)
    {
        group->start_heartbeats();
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        daemons[i]->start();
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto& where = readiness_[i];
        if (!wait_until(start_limit, [&where] { return is_ready(where); }))
        {
            lines.write(where.address + " does not become ready");
            return false;
        }
    }
    lines.write("all daemons are ready");
    return true;
}

void fleet::write_config(const std::string& removed)
{
    const json::object limits{{"maxHeaderBytes", 16384},
                              {"maxBodyBytes", 262144},
                              {"headerTimeoutMs", 3000},
                              {"idleTimeoutMs", 15000},
                              {"txIdleMs", 3000}};
    const json::object config{{"version", ++version_},
                              {"routes", routes(removed)},
                              {"services", services()},
                              {"limits", limits},
                              {"tenants", tenant_list()}};
    platform.put({"op", "config"}, json::serialize(config));
    lines.write("the operator's version " + std::to_string(version_) +
                " is acknowledged");
}

void fleet::start_clients(std::size_t count)
{
    for (std::size_t i = 0; i < daemons.size() * count; ++i)
    {
        std::thread([this, i, count] { run_client(i / count, i); }).detach();
    }
}

void fleet::run_client(std::size_t vm, std::size_t number)
{
    constexpr std::size_t first_number = 100;
    const auto name = "c" + std::to_string(first_number + number);
    const auto tenant = key_of(number % tenants);
    const auto group = std::to_string(number % group_count + 1);
    for (std::size_t operation = 1;; ++operation)
    {
        std::this_thread::sleep_for(client_pause);
        client session(name, frontends[vm], lines);
        const auto id = name + '.' + std::to_string(operation);
        const auto kind = static_cast<operation_kind>(
            operation % static_cast<std::size_t>(operation_kind::count));
        run_operation(session, kind, group, tenant, id);
    }
}

std::vector<database_group*> fleet::group_pointers() const
{
    std::vector<database_group*> found;
    for (const auto& group : groups)
    {
        found.push_back(group.get());
    }
    return found;
}

daemon* fleet::coordinator()
{
    const auto rows = platform.rows();
    const auto row = rows.find({"duty", "failover"});
    if (row == rows.end())
    {
        return nullptr;
    }
    const auto value = decode_base64(row->second.value);
    for (const auto& vm : daemons)
    {
        if (value.find(vm->name()) != std::string::npos)
        {
            return vm.get();
        }
    }
    return nullptr;
}

std::string key_of(std::size_t tenant)
{
    return "key-of-tenant-" + std::to_string(tenant);
}

bool wait_until(std::chrono::milliseconds limit,
                const std::function<bool()>& holds)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!holds())
    {
        if (std::chrono::steady_clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace tanagerhoist::review

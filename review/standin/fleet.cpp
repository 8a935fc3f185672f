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

std::vector<std::string> server_addresses()
{
    return {address(first_server), address(first_server + 1),
            address(first_server + 2)};
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

json::object route(const char* database, const char* type)
{
    return {{"name", std::string("r-") + database},
            {"database", database},
            {"type", type},
            {"timeoutMs", 800},
            {"targetLatencyMs", 200},
            {"priority", 1},
            {"backend", fleet::group_name},
            {"maxStalenessMs", 2500},
            {"public", false}};
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
      group(group_name, server_addresses(), times, platform, lines),
      promotions(address(platform_host), {&group}, lines),
      folder_(temporary_folder())
{
    const auto peer_port = free_port(address(first_vm));
    for (std::size_t i = 0; i < vms; ++i)
    {
        const auto ip = address(first_vm + i);
        frontends.push_back({ip, free_port(ip)});
        readiness_.push_back({ip, free_port(ip)});
        const placeholders values{
            {"nodeName", "vm-" + std::to_string(i + 1)},
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

bool fleet::start()
{
    write_config();
    group.start_heartbeats();
    for (const auto& vm : daemons)
    {
        vm->start();
    }
    for (const auto& where : readiness_)
    {
        if (!wait_until(start_limit, [&where] { return is_ready(where); }))
        {
            lines.write(where.address + " does not become ready");
            return false;
        }
    }
    lines.write("all daemons are ready");
    return true;
}

void fleet::write_config()
{
    const json::object tenant{{"name", "tenant-one"},
                              {"apiKeys", json::array{key}},
                              {"priority", 1},
                              {"ratePerS", 500},
                              {"burst", 500}};
    const json::object service{
        {"name", group_name}, {"maxConns", 30}, {"syncReplicas", 0}};
    const json::object config{
        {"version", ++version_},
        {"routes", json::array{route("notes", "read_your_writes")}},
        {"services", json::array{service}},
        {"limits", json::object{{"txIdleMs", 3000}}},
        {"tenants", json::array{tenant}}};
    platform.put({"op", "config"}, json::serialize(config));
    lines.write("the operator's version " + std::to_string(version_) +
                " is acknowledged");
}

void fleet::start_clients()
{
    for (std::size_t i = 0; i < daemons.size(); ++i)
    {
        std::thread([this, i] { run_client(i); }).detach();
    }
}

void fleet::run_client(std::size_t vm)
{
    const auto name = "client-" + std::to_string(vm + 1);
    client session(name, frontends[vm], lines);
    bool open = false;
    for (std::size_t number = 1;; ++number)
    {
        std::this_thread::sleep_for(client_pause);
        open = open || session.open("notes", key);
        const auto id = name + '.' + std::to_string(number);
        open = open && !session.query(id, "WRITE row " + id).empty();
    }
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

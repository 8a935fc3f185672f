#include "standin/program.hpp"
#include "standin/session_group_service.hpp"

#include <spdlog/spdlog.h>

#include <string>
#include <vector>

namespace tanagerhoist::standin
{
namespace
{

milliseconds time_option(const cxxopts::ParseResult& options,
                         const std::string& name)
{
    return milliseconds(options[name].as<unsigned>());
}

session_group_options parse_group(const cxxopts::ParseResult& options)
{
    const auto address = options["address"].as<std::string>();
    session_group_options group;
    group.name = options["name"].as<std::string>();
    group.listen = parse_endpoint(address, options["port"].as<std::string>());
    group.store =
        parse_endpoint(address, options["store-port"].as<std::string>());
    group.control_time = time_option(options, "control-ms");
    group.promotion_time = time_option(options, "promotion-ms");
    group.repeated_after = time_option(options, "repeat-ms");
    for (const auto& text : options["server"].as<std::vector<std::string>>())
    {
        const auto parts = split_option(text, 3);
        group.servers.push_back({parts[0], parse_endpoint(parts[1], parts[2])});
    }
    return group;
}

void run(boost::asio::io_context& context, const cxxopts::ParseResult& options)
{
    const session_group_service service(context, parse_group(options));
    spdlog::info("session group listening on port {}", service.local().port());
    context.run();
}

cxxopts::Options command_line()
{
    cxxopts::Options options(
        "tanagerhoist-standin-session-group",
        "Stand-in for a group of backend servers as far as changes of its\n"
        "primary need them, and for the platform's call /failover. Prints the\n"
        "control commands and promotion requests as they arrive.");
    options.add_options()(
        "address", "IP number to listen on, and of the store",
        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "TCP port of /failover and of the test's calls",
        cxxopts::value<std::string>())("store-port", "TCP port of the store",
                                       cxxopts::value<std::string>())(
        "name", "name of the group",
        cxxopts::value<std::string>()->default_value("g"))(
        "server", "NAME,IP,PORT of a server; repeat for each, primary first",
        cxxopts::value<std::vector<std::string>>())(
        "control-ms", "time that a control command takes",
        cxxopts::value<unsigned>()->default_value("0"))(
        "promotion-ms", "time from a promotion request to the new role",
        cxxopts::value<unsigned>()->default_value("300"))(
        "repeat-ms",
        "time after which control answers are sent again; 0: never",
        cxxopts::value<unsigned>()->default_value("0"));
    return options;
}

} // namespace
} // namespace tanagerhoist::standin

int main(int argc, char** argv)
{
    auto options = tanagerhoist::standin::command_line();
    return tanagerhoist::standin::run_program(options, argc, argv,
                                              &tanagerhoist::standin::run);
}

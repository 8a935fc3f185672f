#include "standin/database_service.hpp"
#include "standin/program.hpp"

#include <spdlog/spdlog.h>

#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist::standin
{

namespace
{

/// Value of one --server option.
struct group_member
{
    std::string name;
    boost::asio::ip::tcp::endpoint address;
};

std::vector<group_member> parse_group(const cxxopts::ParseResult& options)
{
    std::vector<group_member> members;
    for (const auto& text : options["server"].as<std::vector<std::string>>())
    {
        const auto parts = split_option(text, 3);
        members.push_back({parts[0], parse_endpoint(parts[1], parts[2])});
    }
    return members;
}

milliseconds time_option(const cxxopts::ParseResult& options,
                         const std::string& name)
{
    return milliseconds(options[name].as<std::uint32_t>());
}

database_service_options
parse_service_options(const cxxopts::ParseResult& options,
                      const std::vector<group_member>& members)
{
    database_service_options settings;
    settings.name = options["name"].as<std::string>();
    settings.primary = options["primary"].as<bool>();
    settings.slots = options["slots"].as<std::uint32_t>();
    settings.statement_time = time_option(options, "statement-ms");
    settings.lag = time_option(options, "lag-ms");
    bool found = false;
    for (const auto& member : members)
    {
        settings.group.push_back(member.name);
        if (member.name == settings.name)
        {
            settings.listen = member.address;
            found = true;
        }
    }
    if (!found || settings.slots == 0)
    {
        throw cxxopts::exceptions::incorrect_argument_type(found ? "slots"
                                                                 : "name");
    }
    return settings;
}

void run(boost::asio::io_context& context, const cxxopts::ParseResult& options)
{
    const auto members = parse_group(options);
    database_service service(context, parse_service_options(options, members));
    for (const auto& member : members)
    {
        if (member.name != options["name"].as<std::string>())
        {
            service.connect(member.name, member.address);
        }
    }
    spdlog::info("database server listening on port {}",
                 service.local().port());
    context.run();
}

cxxopts::Options command_line()
{
    cxxopts::Options options(
        "tanagerhoist-standin-database",
        "Stand-in for one server of a database group, for tests and trials.\n"
        "The log is kept in memory only: do not restart a server while the\n"
        "rest of its group is running.");
    options.add_options()("name", "name of this server",
                          cxxopts::value<std::string>())(
        "server", "NAME,IP,PORT of a server of the group; repeat for each",
        cxxopts::value<std::vector<std::string>>())(
        "primary", "start as the primary of term 1")(
        "slots", "maximum number of concurrent statements",
        cxxopts::value<std::uint32_t>()->default_value("5"))(
        "statement-ms", "service time of a statement in ms",
        cxxopts::value<std::uint32_t>()->default_value("0"))(
        "lag-ms", "replication lag of this server in ms",
        cxxopts::value<std::uint32_t>()->default_value("0"));
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

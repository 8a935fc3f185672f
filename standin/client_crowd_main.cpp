#include "standin/client_crowd.hpp"
#include "standin/program.hpp"

#include <spdlog/spdlog.h>

#include <stdexcept>
#include <string>

namespace tanagerhoist::standin
{
namespace
{

const crowd_pattern& pattern_of(const std::string& name)
{
    const auto* pattern = find_crowd_pattern(name);
    if (pattern == nullptr)
    {
        throw std::invalid_argument("no crowd is named " + name);
    }
    return *pattern;
}

void run(boost::asio::io_context& context, const cxxopts::ParseResult& options)
{
    const auto daemon = parse_endpoint(options["address"].as<std::string>(),
                                       options["port"].as<std::string>());
    const client_crowd crowd(context, daemon,
                             options["database"].as<std::string>(),
                             pattern_of(options["crowd"].as<std::string>()),
                             options["clients"].as<std::size_t>(),
                             [] { spdlog::info("crowd has settled"); });
    context.run();
}

cxxopts::Options command_line()
{
    cxxopts::Options options(
        "tanagerhoist-standin-client-crowd",
        "Clients that misbehave alike. Says when none of them can send any\n"
        "more, and keeps their connections until it is stopped.");
    options.add_options()("address", "IP number of the daemon",
                          cxxopts::value<std::string>()->default_value(
                              "127.0.0.1"))("port",
                                            "TCP port of the daemon's sessions",
                                            cxxopts::value<std::string>())(
        "database", "database of the sessions",
        cxxopts::value<std::string>()->default_value("one"))(
        "crowd", "how they misbehave", cxxopts::value<std::string>())(
        "clients", "how many they are",
        cxxopts::value<std::size_t>()->default_value("64"));
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

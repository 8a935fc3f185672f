#include "command_line.hpp"

#include <boost/asio/ip/address.hpp>
#include <cxxopts.hpp>

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <limits>

namespace tanagerhoist::publish
{
namespace
{

constexpr char after_help[] = R"(
Commands:
  check PATH...     validate the settings and print every error
  check FILE        the same for a configuration of the platform (JSON), with
                    entries that never match and limits that contradict each
                    other; --against FILE shows what differs
  diff PATH...      show what a publish would change, and the version in force
  publish PATH...   validate, store and put in force; requires --from
  status            show the version in force on each listed VM
  hash-key          read a secret from standard input, print salt and hash

A PATH is an INI file, or a directory whose .ini files are read.

Exit codes:
  0  done
  1  the command line is wrong
  2  the settings are invalid; nothing was published
  3  conflict with another change, which is named; nothing was published
  4  the platform gave no usable answer; nothing was published
  5  the platform did not answer; unknown whether the change was accepted
  6  published, but not in force on every listed VM
  7  the configuration can be read, but check has findings
)";

cxxopts::Options make_options()
{
    const char* user = std::getenv("USER");
    cxxopts::Options options(
        "tanagerhoist-publish",
        "Validates and publishes the operators' settings.");
    options.positional_help("COMMAND [PATH...]");
    options.add_options()("h,help", "show this help")("version",
                                                      "show the version")(
        "platform", "platform service as ADDRESS:PORT",
        cxxopts::value<std::string>()->default_value("127.0.0.1:7900"))(
        "from", "version that the files were edited from; 0 for the first",
        cxxopts::value<std::uint64_t>())(
        "publisher", "name of the publisher, shown to others on a conflict",
        cxxopts::value<std::string>()->default_value(user ? user : "unknown"))(
        "wait", "seconds to wait until the change is in force everywhere",
        cxxopts::value<unsigned>()->default_value("0"))(
        "timeout", "timeout of one platform call in milliseconds",
        cxxopts::value<unsigned>()->default_value("1000"))(
        "against", "configuration to compare with, for check",
        cxxopts::value<std::string>()->default_value(""))(
        "json", "print the result of a configuration's check as JSON")(
        "command", "", cxxopts::value<std::string>())(
        "paths", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"command", "paths"});
    return options;
}

/// Parses ADDRESS:PORT into `line`; false if the IP address or port is invalid.
bool parse_platform_address(const std::string& text, command_line& line)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
    {
        return false;
    }
    line.platform_address = text.substr(0, colon);
    boost::system::error_code malformed;
    boost::asio::ip::make_address(line.platform_address, malformed);
    unsigned port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] =
        std::from_chars(text.data() + colon + 1, end, port);
    line.platform_port = static_cast<std::uint16_t>(port);
    return !malformed && error == std::errc() && stop == end && port != 0 &&
           port <= std::numeric_limits<std::uint16_t>::max();
}

command_line to_command_line(const cxxopts::ParseResult& result)
{
    command_line line;
    line.command = result["command"].as<std::string>();
    if (result.count("paths") != 0)
    {
        for (const auto& path : result["paths"].as<std::vector<std::string>>())
        {
            line.paths.emplace_back(path);
        }
    }
    if (result.count("from") != 0)
    {
        line.from_version = result["from"].as<std::uint64_t>();
    }
    line.against = result["against"].as<std::string>();
    line.json = result.count("json") != 0;
    line.publisher = result["publisher"].as<std::string>();
    line.wait = std::chrono::seconds(result["wait"].as<unsigned>());
    line.timeout = std::chrono::milliseconds(result["timeout"].as<unsigned>());
    return line;
}

} // namespace

std::optional<command_line> parse(int argc, const char* const* argv,
                                  exit_code& code)
{
    code = exit_code::usage;
    auto options = make_options();
    try
    {
        const auto result = options.parse(argc, argv);
        if (result.count("help") != 0 || result.count("version") != 0)
        {
            std::cout << (result.count("help") != 0
                              ? options.help() + after_help
                              : "tanagerhoist-publish " TANAGERHOIST_VERSION
                                "\n");
            code = exit_code::ok;
            return std::nullopt;
        }
        if (result.count("command") == 0)
        {
            std::cerr << "no command given; see --help\n";
            return std::nullopt;
        }
        auto line = to_command_line(result);
        if (!parse_platform_address(result["platform"].as<std::string>(), line))
        {
            std::cerr
                << "--platform: expected ADDRESS:PORT with an IP address\n";
            return std::nullopt;
        }
        return line;
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << error.what() << '\n';
    }
    return std::nullopt;
}

} // namespace tanagerhoist::publish

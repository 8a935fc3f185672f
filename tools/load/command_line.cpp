#include "command_line.hpp"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

namespace tanagerhoist::load
{
namespace
{

constexpr char after_help[] = R"(
Commands:
  session DIR              run one session through three daemons, step by step
  run DIR                  open-loop load; ends after --seconds or on SIGTERM
  wait DIR                 wait until every daemon serves every database
  ask DIR                  send one request, print the answer
  metrics ADDRESS:PORT     print the metrics of a daemon
  dump ADDRESS:PORT        print the contents of a stand-in
  fault ADDRESS:PORT JSON  set the faults of a stand-in

DIR holds the operators' .ini files, and those of the VMs in DIR/vm.

Exit codes:
  0  done, and every check passed
  1  the command line is wrong
  2  the settings are invalid
  3  an answer, a count or the contents of a database failed a check
  4  no answer
)";

void add_request_options(cxxopts::Options& options)
{
    options.add_options()("daemon", "VM that receives the request",
                          cxxopts::value<std::string>()->default_value("vm1"))(
        "route", "route of the request",
        cxxopts::value<std::string>()->default_value(""))(
        "statement", "statement of the request",
        cxxopts::value<std::string>()->default_value(""))(
        "id", "request id", cxxopts::value<std::string>()->default_value(""))(
        "key", "ID.SECRET of the caller",
        cxxopts::value<std::string>()->default_value(""))(
        "session", "session whose token the caller has lost",
        cxxopts::value<std::string>()->default_value(""))(
        "deadline", "deadline of the request in ms; 0 uses the route's",
        cxxopts::value<std::uint64_t>()->default_value("0"))(
        "expect", "expected result code",
        cxxopts::value<std::uint32_t>()->default_value("0"));
}

void add_run_options(cxxopts::Options& options)
{
    options.add_options()("seconds", "duration of a run or timeout of a wait",
                          cxxopts::value<unsigned>()->default_value("10"))(
        "load", "load as a fraction of each workspace's rate",
        cxxopts::value<double>()->default_value("0.5"))(
        "reads", "fraction of the requests that are reads",
        cxxopts::value<double>()->default_value("0.7"))(
        "sessions", "sessions per workspace",
        cxxopts::value<std::uint32_t>()->default_value("6"))(
        "seed", "seed of the random generator",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "flood",
        "WORKSPACE=FACTOR: load as a multiple of its rate; may be repeated",
        cxxopts::value<std::vector<std::string>>())(
        "verify", "compare the answers with the stand-ins' logs after the run");
}

cxxopts::Options make_options()
{
    cxxopts::Options options("tanagerhoist-load",
                             "Generates load and runs checks against a fleet.");
    options.positional_help("COMMAND DIR|ADDRESS:PORT [JSON]");
    options.add_options()("h,help", "show this help")("version",
                                                      "show the version")(
        "keys", "file of caller keys, one ID.SECRET per line",
        cxxopts::value<std::string>()->default_value(""))(
        "command", "", cxxopts::value<std::string>())(
        "target", "", cxxopts::value<std::string>())(
        "body", "", cxxopts::value<std::string>()->default_value("{}"));
    add_request_options(options);
    add_run_options(options);
    options.parse_positional({"command", "target", "body"});
    return options;
}

void read_request_options(const cxxopts::ParseResult& given, command_line& line)
{
    line.daemon = given["daemon"].as<std::string>();
    line.route = given["route"].as<std::string>();
    line.statement = given["statement"].as<std::string>();
    line.request_id = given["id"].as<std::string>();
    line.key = given["key"].as<std::string>();
    line.session = given["session"].as<std::string>();
    line.deadline_ms = given["deadline"].as<std::uint64_t>();
    line.expected_code = given["expect"].as<std::uint32_t>();
}

/// @throws cxxopts::exceptions::exception if a --flood value is malformed
void read_flood_options(const cxxopts::ParseResult& given, command_line& line)
{
    if (given.count("flood") == 0)
    {
        return;
    }
    for (const auto& text : given["flood"].as<std::vector<std::string>>())
    {
        const auto equals = text.find('=');
        const double factor =
            equals == std::string::npos
                ? 0
                : std::strtod(text.c_str() + equals + 1, nullptr);
        if (factor <= 0)
        {
            throw cxxopts::exceptions::incorrect_argument_type(text);
        }
        line.rate_factors[text.substr(0, equals)] = factor;
    }
}

command_line to_command_line(const cxxopts::ParseResult& given)
{
    command_line line;
    line.command = given["command"].as<std::string>();
    line.target = given["target"].as<std::string>();
    line.body = given["body"].as<std::string>();
    line.keys_file = given["keys"].as<std::string>();
    read_request_options(given, line);
    line.duration = std::chrono::seconds(given["seconds"].as<unsigned>());
    line.rate_fraction = given["load"].as<double>();
    line.read_fraction = given["reads"].as<double>();
    line.sessions = given["sessions"].as<std::uint32_t>();
    line.seed = given["seed"].as<std::uint64_t>();
    line.verify = given.count("verify") != 0;
    read_flood_options(given, line);
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
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0 || given.count("version") != 0)
        {
            std::cout << (given.count("help") != 0
                              ? options.help() + after_help
                              : "tanagerhoist-load " TANAGERHOIST_VERSION "\n");
            code = exit_code::ok;
            return std::nullopt;
        }
        if (given.count("command") == 0 || given.count("target") == 0)
        {
            std::cerr << "a command and a target are required; see --help\n";
            return std::nullopt;
        }
        return to_command_line(given);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << error.what() << '\n';
    }
    return std::nullopt;
}

} // namespace tanagerhoist::load

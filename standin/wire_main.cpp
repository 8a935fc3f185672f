#include "standin/program.hpp"
#include "standin/wire_rig.hpp"

#include <iostream>
#include <stdexcept>
#include <string>

namespace tanagerhoist::standin
{
namespace
{

const wire_mode& mode_of(const std::string& name)
{
    const auto* mode = find_wire_mode(name);
    if (mode == nullptr)
    {
        throw std::invalid_argument("no mode is named " + name);
    }
    return *mode;
}

wire_rig_options parse_rig(const cxxopts::ParseResult& options)
{
    const auto endpoint = [&options](const std::string& port)
    {
        return parse_endpoint(options["address"].as<std::string>(),
                              options[port].as<std::string>());
    };
    wire_rig_options rig;
    rig.store = endpoint("store-port");
    rig.daemon = endpoint("port");
    rig.readiness = endpoint("readiness-port");
    rig.servers = endpoint("server-port");
    rig.clients = options["clients"].as<std::size_t>();
    rig.statements = options["statements"].as<std::size_t>();
    rig.seed = options["seed"].as<std::uint64_t>();
    rig.most_cases = options["cases"].as<std::size_t>();
    return rig;
}

void run(boost::asio::io_context& context, const cxxopts::ParseResult& options)
{
    const auto& mode = mode_of(options["mode"].as<std::string>());
    const auto parsed = parse_rig(options);
    const wire_rig rig(context, parsed, mode, [&context] { context.stop(); });
    context.run();
    const auto& ledger = rig.ledger();
    std::cout << mode.name << ", seed " << parsed.seed << ": "
              << ledger.summary() << '\n';
    for (const auto& text : ledger.cases())
    {
        std::cout << text;
    }
    if (ledger.is_broken() || ledger.count_of("served") == 0)
    {
        throw std::runtime_error("a check is broken, or nothing was served");
    }
}

cxxopts::Options command_line()
{
    cxxopts::Options options(
        "tanagerhoist-standin-wire",
        "Servers of a group that misbehave, and clients that check what one\n"
        "daemon makes of it. Prints counts and the first broken cases, and\n"
        "fails if there are any.");
    auto add = options.add_options();
    add("address", "IP number of all sockets",
        cxxopts::value<std::string>()->default_value("127.0.0.1"));
    add("port", "TCP port of the daemon's sessions",
        cxxopts::value<std::string>());
    add("readiness-port", "TCP port of the daemon's readiness probe",
        cxxopts::value<std::string>());
    add("store-port", "TCP port of the store", cxxopts::value<std::string>());
    add("server-port", "TCP port of the first of three servers",
        cxxopts::value<std::string>());
    add("mode", "how servers and clients misbehave",
        cxxopts::value<std::string>());
    add("seed", "seed of all draws", cxxopts::value<std::uint64_t>());
    add("clients", "how many clients there are",
        cxxopts::value<std::size_t>()->default_value("16"));
    add("statements", "how many statements each of them sends, at least",
        cxxopts::value<std::size_t>()->default_value("150"));
    add("cases", "how many broken cases of each check are printed",
        cxxopts::value<std::size_t>()->default_value("1"));
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

#include "standin/platform_service.hpp"
#include "standin/program.hpp"

#include <spdlog/spdlog.h>

#include <string>
#include <vector>

namespace tanagerhoist::standin
{

namespace
{

std::vector<proto::ListedVm>
parse_listed_vms(const cxxopts::ParseResult& options)
{
    std::vector<proto::ListedVm> listed;
    if (options.count("vm") == 0)
    {
        return listed;
    }
    for (const auto& text : options["vm"].as<std::vector<std::string>>())
    {
        const auto parts = split_option(text, 4);
        proto::ListedVm vm;
        vm.set_vm(parts[0]);
        vm.set_data_centre(parts[1]);
        vm.set_address(parts[2]);
        vm.set_peer_port(parse_endpoint(parts[2], parts[3]).port());
        listed.push_back(vm);
    }
    return listed;
}

void run(boost::asio::io_context& context, const cxxopts::ParseResult& options)
{
    const auto listen = parse_endpoint(options["address"].as<std::string>(),
                                       options["port"].as<std::string>());
    platform_service service(context, listen, parse_listed_vms(options));
    spdlog::info("platform listening on port {}", service.local().port());
    context.run();
}

cxxopts::Options command_line()
{
    cxxopts::Options options(
        "tanagerhoist-standin-platform",
        "Stand-in for the platform's table service, object store and list of\n"
        "VMs, for tests and trials. All data is kept in memory.");
    options.add_options()(
        "address", "IP number to listen on",
        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "TCP port to listen on", cxxopts::value<std::string>())(
        "vm", "NAME,DATA_CENTRE,IP,PEER_PORT of a listed VM; repeat for each",
        cxxopts::value<std::vector<std::string>>());
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

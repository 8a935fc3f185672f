#include "standin/program.hpp"

#include "fleet.pb.h"

#include <boost/asio/ip/udp.hpp>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace tanagerhoist::standin
{
namespace
{

namespace asio = boost::asio;

std::string encode_report(std::uint64_t vm, std::uint64_t sequence)
{
    proto::FleetDatagram datagram;
    auto& report = *datagram.mutable_report();
    report.set_vm("standin" + std::to_string(vm));
    report.set_life(1);
    report.set_sequence(sequence);
    return datagram.SerializeAsString();
}

/// Sends reports of many VMs without a pause, and reads no answers.
void run(asio::io_context& context, const cxxopts::ParseResult& options)
{
    const auto listen = parse_endpoint(options["address"].as<std::string>(),
                                       options["port"].as<std::string>());
    const asio::ip::udp::endpoint coordinator(listen.address(), listen.port());
    asio::ip::udp::socket socket(context, asio::ip::udp::v4());
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::seconds(options["seconds"].as<unsigned>());
    const auto vms = options["vms"].as<std::uint64_t>();
    std::uint64_t sent = 0;
    while (std::chrono::steady_clock::now() < end)
    {
        const auto bytes = encode_report(sent % vms, sent / vms + 1);
        boost::system::error_code ignored; // a lost report needs no repeat
        socket.send_to(asio::buffer(bytes), coordinator, 0, ignored);
        ++sent;
    }
    spdlog::info("sent {} reports", sent);
}

cxxopts::Options command_line()
{
    cxxopts::Options options("tanagerhoist-standin-reports",
                             "Stand-in for the VMs of a large fleet, for "
                             "tests: sends their reports\n"
                             "to a coordinator as fast as it can.");
    options.add_options()(
        "address", "IP number of the coordinator",
        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "UDP port of the coordinator", cxxopts::value<std::string>())(
        "vms", "number of VMs",
        cxxopts::value<std::uint64_t>()->default_value("200"))(
        "seconds", "how long to send",
        cxxopts::value<unsigned>()->default_value("5"));
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

#include "standin/program.hpp"
#include "standin/store_service.hpp"

#include <spdlog/spdlog.h>

#include <string>

namespace tanagerhoist::standin
{
namespace
{

void run(boost::asio::io_context& context, const cxxopts::ParseResult& options)
{
    const auto listen = parse_endpoint(options["address"].as<std::string>(),
                                       options["port"].as<std::string>());
    const store_service service(
        context, listen,
        milliseconds(options["transaction-ms"].as<unsigned>()));
    spdlog::info("store listening on port {}", service.local().port());
    context.run();
}

cxxopts::Options command_line()
{
    cxxopts::Options options(
        "tanagerhoist-standin-store",
        "Stand-in for the platform's store of rows, for tests and trials. It\n"
        "can return to an older copy. All data is kept in memory.");
    options.add_options()(
        "address", "IP number to listen on",
        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "TCP port to listen on", cxxopts::value<std::string>())(
        "transaction-ms", "time that each transaction takes",
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

#include "standin/program.hpp"

#include <boost/asio/signal_set.hpp>
#include <spdlog/spdlog.h>

#include <charconv>
#include <csignal>
#include <cstdint>
#include <exception>

namespace tanagerhoist::standin
{

boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address,
                                              const std::string& port)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address, error);
    std::uint16_t number = 0;
    const char* end = port.data() + port.size();
    const auto parsed = std::from_chars(port.data(), end, number);
    if (error || parsed.ec != std::errc() || parsed.ptr != end)
    {
        throw cxxopts::exceptions::incorrect_argument_type(address + ":" +
                                                           port);
    }
    return {ip, number};
}

int run_program(cxxopts::Options& options, int argc, char** argv,
                const run_service& run)
{
    const auto parsed = parse_command_line(options, argc, argv);
    if (!parsed.options)
    {
        return parsed.exit_code;
    }
    try
    {
        boost::asio::io_context context(1);
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait(
            [&context](const boost::system::error_code& error, int /*signal*/)
            { error ? void() : context.stop(); });
        run(context, *parsed.options);
        spdlog::info("ended");
        return exit_ok;
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        spdlog::error("invalid command line: {}", error.what());
        return exit_usage;
    }
    catch (const std::exception& error)
    {
        spdlog::error("service failed: {}", error.what());
        return exit_failure;
    }
}

} // namespace tanagerhoist::standin

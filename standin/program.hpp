#ifndef TANAGERHOIST_STANDIN_PROGRAM_HPP
#define TANAGERHOIST_STANDIN_PROGRAM_HPP

#include "standin/command_line.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace tanagerhoist::standin
{

/// Parses an IP address and a port.
/// @throws cxxopts::exceptions::exception if either is malformed
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address,
                                              const std::string& port);

/// Creates a service from the options and runs `context` until it is stopped.
using run_service = std::function<void(boost::asio::io_context& context,
                                       const cxxopts::ParseResult& options)>;

/// Main function of a stand-in program: parses the command line and calls `run`
/// on one thread; SIGTERM and SIGINT stop the context.
/// @return exit code of the process
int run_program(cxxopts::Options& options, int argc, char** argv,
                const run_service& run);

} // namespace tanagerhoist::standin

#endif

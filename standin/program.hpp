#ifndef TANAGERHOIST_STANDIN_PROGRAM_HPP
#define TANAGERHOIST_STANDIN_PROGRAM_HPP

#include "standin/command_line.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace tanagerhoist::standin
{

/// Endpoint at an IP number.
/// @throws cxxopts::exceptions::exception if either part is malformed
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address,
                                              const std::string& port);

/// Builds a service from the options and runs `context` until it is stopped.
using run_service = std::function<void(boost::asio::io_context& context,
                                       const cxxopts::ParseResult& options)>;

/// Main function of a stand-in: parses the command line and runs the service
/// that `start` builds on one thread until SIGTERM or SIGINT.
/// @return exit code of the process
int run_program(cxxopts::Options& options, int argc, char** argv,
                const run_service& run);

} // namespace tanagerhoist::standin

#endif

#ifndef TANAGERHOIST_TOOLS_LOAD_COMMAND_LINE_HPP
#define TANAGERHOIST_TOOLS_LOAD_COMMAND_LINE_HPP

#include "tanagerhoist/core/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist::load
{

/// Exit codes of the program.
enum class exit_code
{
    ok = 0,
    usage = 1,
    settings = 2,
    violation = 3,
    no_answer = 4
};

/// What the operator asked for.
struct command_line
{
    std::string command;
    std::string target; ///< directory of settings, or ADDRESS:PORT
    std::string body;   ///< third argument: JSON of a fault
    std::string keys_file;

    // ask
    std::string daemon;
    std::string route;
    std::string statement;
    std::string request_id;
    std::string key;
    std::string session;
    std::uint64_t deadline_ms = 0;
    std::uint32_t expected_code = 0;

    // run and wait
    std::chrono::seconds duration{};
    double rate_fraction = 0; ///< part of each workspace's rate
    double read_fraction = 0; ///< part of the requests
    std::uint32_t sessions = 0;
    std::uint64_t seed = 0;
    std::map<std::string, double> rate_factors; ///< factor by workspace
    bool verify = false;
};

/// Reads the command line; prints help, version or what is wrong itself.
/// @param code set to the exit code if nothing is returned
std::optional<command_line> parse(int argc, const char* const* argv,
                                  exit_code& code);

} // namespace tanagerhoist::load

#endif

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

/// Exit codes; `--help` lists them.
enum class exit_code
{
    ok = 0,
    usage = 1,
    settings = 2,
    violation = 3,
    no_answer = 4
};

/// Options and arguments of one invocation.
struct command_line
{
    std::string command;
    std::string target; ///< settings directory or ADDRESS:PORT
    std::string body;   ///< third argument: faults to set, as JSON
    std::string keys_file;

    // Options of ask.
    std::string daemon;
    std::string route;
    std::string statement;
    std::string request_id;
    std::string key;
    std::string session;
    std::uint64_t deadline_ms = 0;
    std::uint32_t expected_code = 0;

    // Options of run and wait.
    std::chrono::seconds duration{};
    double rate_fraction = 0;   ///< load as a fraction of each workspace's rate
    double read_fraction = 0;   ///< fraction of the requests that are reads
    std::uint32_t sessions = 0; ///< per workspace
    std::uint64_t seed = 0;
    /// Load of single workspaces as a multiple of their rate, in place of
    /// `rate_fraction`.
    std::map<std::string, double> rate_factors;
    bool verify = false;
};

/// Parses the command line. Prints help, version or the error itself.
/// @param code exit code, set if nothing is returned
std::optional<command_line> parse(int argc, const char* const* argv,
                                  exit_code& code);

} // namespace tanagerhoist::load

#endif

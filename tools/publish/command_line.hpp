#ifndef TANAGERHOIST_TOOLS_PUBLISH_COMMAND_LINE_HPP
#define TANAGERHOIST_TOOLS_PUBLISH_COMMAND_LINE_HPP

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist::publish
{

/// Exit codes; `--help` lists them.
enum class exit_code
{
    ok = 0,
    usage = 1,
    settings_error = 2,
    conflict = 3,
    nothing_published = 4,
    unknown = 5,
    not_in_force = 6,
    findings = 7
};

/// Options and arguments of one invocation.
struct command_line
{
    std::string command;
    std::vector<std::filesystem::path> paths;
    std::filesystem::path against; ///< configuration in force; empty: none
    bool json = false;             ///< print JSON
    std::string platform_address;
    std::uint16_t platform_port = 0;
    /// Settings version that the files were edited from.
    std::optional<std::uint64_t> from_version;
    std::string publisher;
    std::chrono::seconds wait{0};         ///< for the rollout; 0 doesn't wait
    std::chrono::milliseconds timeout{0}; ///< of one platform call
};

/// Parses the command line. Prints help, version or the error itself.
/// @param code exit code, set if nothing is returned
std::optional<command_line> parse(int argc, const char* const* argv,
                                  exit_code& code);

} // namespace tanagerhoist::publish

#endif

#ifndef TANAGERHOIST_STANDIN_COMMAND_LINE_HPP
#define TANAGERHOIST_STANDIN_COMMAND_LINE_HPP

// Values of repeatable options contain commas, at which cxxopts would split
// them by default.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

/// Exit codes of the stand-in programs.
enum exit_code : int
{
    exit_ok = 0,
    exit_failure = 1,
    exit_usage = 2
};

/// The parsed options, or the exit code if the program should end now.
struct parsed_command_line
{
    std::optional<cxxopts::ParseResult> options;
    int exit_code = exit_ok;
};

/// Parses the command line. Handles --help and --version, and prints errors to
/// standard error.
parsed_command_line parse_command_line(cxxopts::Options& options, int argc,
                                       char** argv);

/// Splits `text` at commas.
/// @throws cxxopts::exceptions::exception if there are not exactly `count`
/// parts
std::vector<std::string> split_option(const std::string& text,
                                      std::size_t count);

} // namespace tanagerhoist::standin

#endif

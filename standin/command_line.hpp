#ifndef TANAGERHOIST_STANDIN_COMMAND_LINE_HPP
#define TANAGERHOIST_STANDIN_COMMAND_LINE_HPP

// Values of repeated options contain commas, so they are not to be split.
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

/// Options as given, or the code to end with.
struct parsed_command_line
{
    std::optional<cxxopts::ParseResult> options;
    int exit_code = exit_ok;
};

/// Parses the command line. Answers --help and --version, and reports what is
/// wrong with the others, itself.
parsed_command_line parse_command_line(cxxopts::Options& options, int argc,
                                       char** argv);

/// Parts of `text` between commas.
/// @throws cxxopts::exceptions::exception unless there are `count` parts
std::vector<std::string> split_option(const std::string& text,
                                      std::size_t count);

} // namespace tanagerhoist::standin

#endif

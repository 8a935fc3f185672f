#ifndef TANAGERHOIST_SETTINGS_INI_TEXT_HPP
#define TANAGERHOIST_SETTINGS_INI_TEXT_HPP

#include "tanagerhoist/settings/ini_reader.hpp"

#include <string>
#include <vector>

namespace tanagerhoist
{

/// One `key = value` line.
struct ini_entry
{
    std::string key;
    std::string value;
    unsigned line = 0;
};

/// A section header and the entries under it.
struct ini_section
{
    std::string file;
    std::string header; ///< without brackets
    unsigned line = 0;
    std::vector<ini_entry> entries;
};

/// Parses a file into sections with inih, in file order. Syntax errors are
/// appended to `errors`. Valid lines are returned nevertheless, so that errors
/// in their values can be reported together with the syntax errors.
std::vector<ini_section> parse_ini(const settings_text& text,
                                   settings_errors& errors);

} // namespace tanagerhoist

#endif

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

/// One section header with the entries under it.
struct ini_section
{
    std::string file;
    std::string header; ///< without brackets
    unsigned line = 0;
    std::vector<ini_entry> entries;
};

/// Splits a file into sections by inih, in file order. Faults of syntax are
/// appended to `errors`; what can be read is returned all the same, so that
/// its own errors can be shown with them.
std::vector<ini_section> parse_ini(const settings_text& text,
                                   settings_errors& errors);

} // namespace tanagerhoist

#endif

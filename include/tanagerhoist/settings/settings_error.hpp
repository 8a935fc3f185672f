#ifndef TANAGERHOIST_SETTINGS_SETTINGS_ERROR_HPP
#define TANAGERHOIST_SETTINGS_SETTINGS_ERROR_HPP

#include <string>
#include <vector>

namespace tanagerhoist
{

/// What is wrong with a settings file.
enum class settings_error_kind
{
    unreadable_file,
    oversized_file,
    syntax_error,
    unknown_section,
    duplicate_section,
    unknown_key,
    duplicate_key,
    missing_key,
    wrong_type,
    out_of_range,
    invalid_choice,
    unresolved_reference
};

/// One error, with its place and what would have been right.
struct settings_error
{
    settings_error_kind kind = settings_error_kind::syntax_error;
    std::string file;
    unsigned line = 0;   ///< from 1; 0: the file as a whole
    std::string section; ///< as in the header, without brackets
    std::string key;     ///< empty: the section as a whole
    std::string found;
    std::string expected;
};

/// Every error of a set of files, in the order in which they were found.
struct settings_errors
{
    std::vector<settings_error> all;
};

/// One line: `file:line: [section] key: found ..., expected ...`. Parts that
/// are empty are left out. Characters that do not print show as `?`.
std::string to_text(const settings_error& error);

} // namespace tanagerhoist

#endif

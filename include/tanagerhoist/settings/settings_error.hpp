#ifndef TANAGERHOIST_SETTINGS_SETTINGS_ERROR_HPP
#define TANAGERHOIST_SETTINGS_SETTINGS_ERROR_HPP

#include <string>
#include <vector>

namespace tanagerhoist
{

/// Kind of error in a settings file.
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

/// One error, with its location and the expected value.
struct settings_error
{
    settings_error_kind kind = settings_error_kind::syntax_error;
    std::string file;
    unsigned line = 0;   ///< counted from 1; 0 for the whole file
    std::string section; ///< header without brackets
    std::string key;     ///< empty for the whole section
    std::string found;
    std::string expected;
};

/// All errors of a set of files, in the order in which they were found.
struct settings_errors
{
    std::vector<settings_error> all;
};

/// Formats an error as one line:
/// `file:line: [section] key: found ..., expected ...`. Empty parts are
/// omitted, and non-printable characters are replaced by `?`.
std::string to_text(const settings_error& error);

} // namespace tanagerhoist

#endif

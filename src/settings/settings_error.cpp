#include "tanagerhoist/settings/settings_error.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Replaces every character that is not printable ASCII by `?`.
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c < ' ' || c > '~'; },
        '?');
    return text;
}

} // namespace

std::string to_text(const settings_error& error)
{
    std::string text = error.file + ':';
    if (error.line != 0)
    {
        text += std::to_string(error.line) + ':';
    }
    if (!error.section.empty())
    {
        text += " [" + error.section + ']';
    }
    if (!error.key.empty())
    {
        text += ' ' + error.key;
    }
    if (!error.section.empty() || !error.key.empty())
    {
        text += ':';
    }
    return printable(text + " found " + error.found + ", expected " +
                     error.expected);
}

} // namespace tanagerhoist

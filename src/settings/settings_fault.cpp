#include "tanagerhoist/settings/settings_fault.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Replaces what a terminal would not print.
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c < ' ' || c > '~'; },
        '?');
    return text;
}

} // namespace

std::string to_text(const settings_fault& fault)
{
    std::string text = fault.file + ':';
    if (fault.line != 0)
    {
        text += std::to_string(fault.line) + ':';
    }
    if (!fault.section.empty())
    {
        text += " [" + fault.section + ']';
    }
    if (!fault.key.empty())
    {
        text += ' ' + fault.key;
    }
    if (!fault.section.empty() || !fault.key.empty())
    {
        text += ':';
    }
    return printable(text + " found " + fault.found + ", expected " +
                     fault.expected);
}

} // namespace tanagerhoist

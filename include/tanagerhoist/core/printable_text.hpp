#ifndef TANAGERHOIST_CORE_PRINTABLE_TEXT_HPP
#define TANAGERHOIST_CORE_PRINTABLE_TEXT_HPP

#include <string>
#include <string_view>

namespace tanagerhoist
{

/// Text of any bytes as one line of UTF-8: control characters, other ends of
/// lines and bytes that are no UTF-8 become `\xNN`, a byte each.
std::string printable(std::string_view text);

/// Text of any bytes as the value of a metric's label, without the quotes.
std::string label_value(std::string_view text);

} // namespace tanagerhoist

#endif

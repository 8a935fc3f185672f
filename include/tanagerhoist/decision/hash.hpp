#ifndef TANAGERHOIST_DECISION_HASH_HPP
#define TANAGERHOIST_DECISION_HASH_HPP

#include <optional>
#include <string>
#include <string_view>

namespace tanagerhoist
{

/// SHA-256 of `data` as 32 raw bytes.
std::string sha256(std::string_view data);

/// Lower-case hexadecimal digits of `bytes`, two per byte.
std::string to_hex(std::string_view bytes);

/// Bytes of the hexadecimal digits in `digits`, of either case; empty if it
/// holds an odd number of digits or anything else.
std::optional<std::string> from_hex(std::string_view digits);

/// Compares two secrets in a time that depends only on their lengths.
bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept;

} // namespace tanagerhoist

#endif

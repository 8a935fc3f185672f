#ifndef TANAGERHOIST_DECISION_HASH_HPP
#define TANAGERHOIST_DECISION_HASH_HPP

#include <optional>
#include <string>
#include <string_view>

namespace tanagerhoist
{

/// Returns the SHA-256 digest of `data` as 32 raw bytes.
std::string sha256(std::string_view data);

/// Encodes `bytes` as lower-case hexadecimal, two digits per byte.
std::string to_hex(std::string_view bytes);

/// Decodes hexadecimal digits of either case.
/// @return empty if the length is odd or a character is not a digit
std::optional<std::string> from_hex(std::string_view digits);

/// Compares two secrets in time that depends only on their lengths.
bool equal_in_constant_time(std::string_view a, std::string_view b) noexcept;

} // namespace tanagerhoist

#endif

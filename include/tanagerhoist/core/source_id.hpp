#ifndef TANAGERHOIST_CORE_SOURCE_ID_HPP
#define TANAGERHOIST_CORE_SOURCE_ID_HPP

#include <string_view>

namespace tanagerhoist
{

/// Names the sources that the program was built from, in 12 hexadecimal digits.
/// `scripts/source-id COMMIT` prints the same for a commit.
std::string_view source_id() noexcept;

} // namespace tanagerhoist

#endif

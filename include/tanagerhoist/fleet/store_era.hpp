#ifndef TANAGERHOIST_FLEET_STORE_ERA_HPP
#define TANAGERHOIST_FLEET_STORE_ERA_HPP

#include <algorithm>
#include <cstdint>

namespace tanagerhoist
{

/// Counts how often the store has come back from an older copy. What was
/// written since the copy is lost then, and the store gives its versions out
/// again; so a version means something only together with its era.
using store_era = std::uint64_t;

/// Era of a store that has never come back older.
constexpr store_era first_store_era = 1;

/// Bits of a number below its era.
constexpr unsigned numbers_per_era_bits = 40;

/// Joins an era and a number of that era into one that orders by era first, and
/// so never goes back.
constexpr std::uint64_t numbered_in(store_era era, std::uint64_t number)
{
    return (era << numbers_per_era_bits) | number;
}

/// Era that a joined number was given out in.
constexpr store_era era_of(std::uint64_t joined)
{
    return joined >> numbers_per_era_bits;
}

/// Number within its era of a joined number.
constexpr std::uint64_t number_in_era(std::uint64_t joined)
{
    return joined & ((std::uint64_t{1} << numbers_per_era_bits) - 1);
}

/// Whether a joined number is from before the store came back older. A store
/// that never has may hold numbers without an era, of former builds.
constexpr bool is_of_ended_era(std::uint64_t joined, store_era era)
{
    return era > first_store_era && era_of(joined) < era;
}

/// Next joined number, above all that earlier eras gave out, whether the store
/// still knows them or not.
/// @param last the last one known
constexpr std::uint64_t next_number(std::uint64_t last, store_era era)
{
    return std::max(last, numbered_in(era, 0)) + 1;
}

} // namespace tanagerhoist

#endif

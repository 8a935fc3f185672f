#ifndef TANAGERHOIST_DECISION_TERM_HPP
#define TANAGERHOIST_DECISION_TERM_HPP

#include <cstdint>

namespace tanagerhoist
{

/// Number of low bits of a term that hold the number of the incarnation that
/// created it.
constexpr unsigned term_number_bits = 24;

/// Largest incarnation number that fits in a term.
constexpr std::uint64_t largest_term_number =
    (std::uint64_t{1} << term_number_bits) - 1;

/// Builds a term. Terms are ordered by `counter` first. The incarnation number
/// makes terms of different incarnations distinct without coordination.
/// @pre 0 < number <= largest_term_number
constexpr std::uint64_t make_term(std::uint64_t counter, std::uint64_t number)
{
    return (counter << term_number_bits) | number;
}

/// Ballot counter of a term.
constexpr std::uint64_t term_counter(std::uint64_t term)
{
    return term >> term_number_bits;
}

/// Number of the incarnation that created a term.
constexpr std::uint64_t term_number(std::uint64_t term)
{
    return term & largest_term_number;
}

/// Term of incarnation `number` with the counter that follows the one of
/// `seen`, so it is above `seen`.
constexpr std::uint64_t next_term(std::uint64_t seen, std::uint64_t number)
{
    return make_term(term_counter(seen) + 1, number);
}

} // namespace tanagerhoist

#endif

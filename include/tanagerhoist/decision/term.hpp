#ifndef TANAGERHOIST_DECISION_TERM_HPP
#define TANAGERHOIST_DECISION_TERM_HPP

#include <cstdint>

namespace tanagerhoist
{

/// Low bits of a term that hold the incarnation which made it.
constexpr unsigned term_number_bits = 24;

/// Largest incarnation number that fits into a term.
constexpr std::uint64_t largest_term_number =
    (std::uint64_t{1} << term_number_bits) - 1;

/// Builds a term. Terms order by `counter` first; two incarnations never build
/// the same one, so a term is unique without asking anyone.
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

/// Incarnation that made a term.
constexpr std::uint64_t term_number(std::uint64_t term)
{
    return term & largest_term_number;
}

/// Lowest term of incarnation `number` that is above `seen`.
constexpr std::uint64_t next_term(std::uint64_t seen, std::uint64_t number)
{
    return make_term(term_counter(seen) + 1, number);
}

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_DECISION_TERM_SOURCE_HPP
#define TANAGERHOIST_DECISION_TERM_SOURCE_HPP

#include "tanagerhoist/core/identity.hpp"
#include "tanagerhoist/decision/term.hpp"

#include <algorithm>
#include <cstdint>

namespace tanagerhoist
{

/// Makes the terms of this incarnation. None is made twice, whatever became of
/// the promotion that asked for it; other incarnations differ in their number.
class term_source
{
public:
    /// @param self its number may be allotted later
    explicit term_source(const identity& self) : self_(self) {}

    /// Whether a term may be made: the incarnation has a number that fits.
    bool ready() const
    {
        return self_.number != 0 && self_.number <= largest_term_number;
    }

    /// A new term above `seen`.
    /// @pre ready()
    std::uint64_t next(std::uint64_t seen)
    {
        last_ = next_term(std::max(last_, seen), self_.number);
        return last_;
    }

    /// Incarnation that the terms carry.
    std::uint64_t number() const { return self_.number; }

private:
    const identity& self_;
    std::uint64_t last_ = 0;
};

} // namespace tanagerhoist

#endif

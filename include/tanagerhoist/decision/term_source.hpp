#ifndef TANAGERHOIST_DECISION_TERM_SOURCE_HPP
#define TANAGERHOIST_DECISION_TERM_SOURCE_HPP

#include "tanagerhoist/core/identity.hpp"
#include "tanagerhoist/decision/term.hpp"

#include <algorithm>
#include <cstdint>

namespace tanagerhoist
{

/// Creates the terms of this incarnation. No term is created twice, even if the
/// promotion that used it failed; terms of other incarnations differ in the
/// incarnation number.
class term_source
{
public:
    /// @param self must outlive this; its number may be assigned later
    explicit term_source(const identity& self) : self_(self) {}

    /// Whether terms can be created: the incarnation has a number, and it fits
    /// in a term.
    bool ready() const
    {
        return self_.number != 0 && self_.number <= largest_term_number;
    }

    /// Returns a new term above `seen`.
    /// @pre ready()
    std::uint64_t next(std::uint64_t seen)
    {
        last_ = next_term(std::max(last_, seen), self_.number);
        return last_;
    }

    /// Incarnation number contained in the terms.
    std::uint64_t number() const { return self_.number; }

private:
    const identity& self_;
    std::uint64_t last_ = 0;
};

} // namespace tanagerhoist

#endif

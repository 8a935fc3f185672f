#ifndef TANAGERHOIST_FUZZ_RANDOM_COMMAND_HPP
#define TANAGERHOIST_FUZZ_RANDOM_COMMAND_HPP

// Random commands for state tests.

#include <rapidcheck.h>

#include <cstdint>
#include <ostream>
#include <vector>

namespace tanagerhoist::fuzz
{

/// A random command; `kind` determines the meaning of `a` and `b`.
struct command
{
    std::uint32_t kind = 0;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

inline std::ostream& operator<<(std::ostream& os, const command& c)
{
    return os << '{' << c.kind << ',' << c.a << ',' << c.b << '}';
}

/// Generates a sequence of commands whose kind is less than `kinds`.
inline rc::Gen<std::vector<command>> sequence_of(std::uint32_t kinds)
{
    return rc::gen::container<std::vector<command>>(rc::gen::build<command>(
        rc::gen::set(&command::kind, rc::gen::inRange(0U, kinds)),
        rc::gen::set(&command::a, rc::gen::inRange(0U, 1000U)),
        rc::gen::set(&command::b, rc::gen::inRange(0U, 1000U))));
}

} // namespace tanagerhoist::fuzz

#endif

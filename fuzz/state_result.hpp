#ifndef TANAGERHOIST_FUZZ_STATE_RESULT_HPP
#define TANAGERHOIST_FUZZ_STATE_RESULT_HPP

#include <cstdint>
#include <iostream>

namespace tanagerhoist::fuzz
{

/// What a state test has run.
struct state_result
{
    std::uint64_t sequences = 0;
    std::uint64_t commands = 0;
    unsigned passed = 0; ///< properties
    unsigned failed = 0;
};

/// Prints the counts, the last line as `scripts/test` reads it.
/// @return the program's exit code
inline int print_result(const state_result& result)
{
    std::cout << result.sequences << " sequences, " << result.commands
              << " commands\n"
              << result.passed << " passed, " << result.failed << " failed\n";
    return result.failed == 0 ? 0 : 1;
}

} // namespace tanagerhoist::fuzz

#endif

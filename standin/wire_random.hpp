#ifndef TANAGERHOIST_STANDIN_WIRE_RANDOM_HPP
#define TANAGERHOIST_STANDIN_WIRE_RANDOM_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <random>

namespace tanagerhoist::standin
{

/// Draws of a test run, the same for the same seed.
class wire_random
{
public:
    explicit wire_random(std::uint64_t seed) : engine_(seed) {}

    std::uint64_t number() { return engine_(); }

    /// A number from 0 to `limit` - 1.
    std::size_t below(std::size_t limit) { return engine_() % limit; }

    /// A number from `least` to `most`.
    std::size_t between(std::size_t least, std::size_t most)
    {
        return least + below(most - least + 1);
    }

    bool chance(unsigned percent) { return below(100) < percent; }

    milliseconds time(std::size_t least_ms, std::size_t most_ms)
    {
        return milliseconds(between(least_ms, most_ms));
    }

private:
    std::mt19937_64 engine_;
};

} // namespace tanagerhoist::standin

#endif

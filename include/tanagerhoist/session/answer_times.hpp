#ifndef TANAGERHOIST_SESSION_ANSWER_TIMES_HPP
#define TANAGERHOIST_SESSION_ANSWER_TIMES_HPP

#include "tanagerhoist/core/time.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <tuple>

namespace tanagerhoist
{

/// Statements that usually take about as long as each other.
struct statement_class
{
    std::string database;
    bool writes = false; ///< or commits

    bool operator<(const statement_class& other) const
    {
        return std::tie(database, writes) <
               std::tie(other.database, other.writes);
    }
};

/// Distribution of the answer times of one kind of statement. Newer answers
/// count more: the weight of the older ones halves with every `half_life`.
class answer_times
{
public:
    static constexpr double half_life = 200; ///< answers

    void add(microseconds took);

    /// Time within which the part `part` (0 to 1) of the answers came, at most
    /// a fifth too long.
    /// @return nullopt if too few answers are known
    std::optional<microseconds> quantile(double part) const;

private:
    static constexpr std::size_t buckets = 56;
    static constexpr double growth = 1.2; ///< of the buckets' bounds
    static constexpr double first_bound_us = 500;

    std::array<float, buckets> counts_{};
    double weight_ = 1; ///< of the next answer; the sum is scaled lazily
    double sum_ = 0;
};

} // namespace tanagerhoist

#endif

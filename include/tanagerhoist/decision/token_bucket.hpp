#ifndef TANAGERHOIST_DECISION_TOKEN_BUCKET_HPP
#define TANAGERHOIST_DECISION_TOKEN_BUCKET_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstdint>

namespace tanagerhoist
{

/// Millionths of a request in one request.
constexpr std::uint64_t token_unit = 1000000;

/// Parts that a workspace's share is divided into.
constexpr std::uint64_t share_parts = 1U << 20U;

/// Tokens of one holder's slice of a workspace's share.
///
/// Rate and capacity are `parts / share_parts` of the workspace's rate and
/// burst. All arithmetic is in integers and rounds down, so that the slices
/// together never exceed the whole.
class token_bucket
{
public:
    /// Takes over rate (requests per second) and burst (requests).
    void use_share(moment now, std::uint64_t rate, std::uint64_t burst,
                   std::uint64_t parts);

    /// Sets the parts; tokens above the new capacity are dropped.
    void use_parts(moment now, std::uint64_t parts);

    /// Sets the capacity below which a small share does not fall, so that it
    /// can hold a whole request. The rate is not raised.
    void set_min_capacity(std::uint64_t amount) { min_capacity_ = amount; }

    /// Debits `amount` millionths if they are there.
    bool take(moment now, std::uint64_t amount);

    /// Credits up to the capacity.
    void add(moment now, std::uint64_t amount);

    /// Drops all tokens.
    void clear() { tokens_ = 0; }

    std::uint64_t tokens(moment now) const;
    std::uint64_t capacity() const;

    /// Tokens that `parts` can carry.
    std::uint64_t capacity_of(std::uint64_t parts) const;

    /// Time until `amount` tokens are there; `longest` if it is never.
    milliseconds time_until_available(moment now, std::uint64_t amount,
                                      milliseconds longest) const;

    std::uint64_t rate() const { return rate_; }

private:
    void fill(moment now);

    std::uint64_t rate_ = 0;
    std::uint64_t burst_ = 0;
    std::uint64_t parts_ = 0;
    std::uint64_t min_capacity_ = 0;
    std::uint64_t tokens_ = 0;
    std::uint64_t remainder_ = 0; ///< share_parts-ths of a millionth
    moment filled_{};
};

} // namespace tanagerhoist

#endif

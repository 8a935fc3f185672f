#ifndef TANAGERHOIST_DECISION_TOKEN_BUCKET_HPP
#define TANAGERHOIST_DECISION_TOKEN_BUCKET_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstdint>

namespace tanagerhoist
{

/// Tokens per request; a token is a millionth of a request.
constexpr std::uint64_t token_unit = 1000000;

/// Number of parts into which a workspace's share is divided.
constexpr std::uint64_t share_parts = 1U << 20U;

/// Token bucket of one holder's slice of a workspace's share.
///
/// Rate and capacity are `parts / share_parts` of the workspace's rate and
/// burst. Integer arithmetic rounds down, so that the sum of all slices never
/// exceeds the workspace's limits.
class token_bucket
{
public:
    /// Sets the workspace's rate (requests per second) and burst (requests),
    /// and the parts of this slice.
    void use_share(moment now, std::uint64_t rate, std::uint64_t burst,
                   std::uint64_t parts);

    /// Sets the parts; tokens above the new capacity are discarded.
    void use_parts(moment now, std::uint64_t parts);

    /// Sets the minimum capacity in tokens, so that a small share can hold a
    /// whole request. Doesn't affect the rate.
    void set_min_capacity(std::uint64_t amount) { min_capacity_ = amount; }

    /// Debits `amount` tokens if available.
    /// @return whether they were debited
    bool take(moment now, std::uint64_t amount);

    /// Credits `amount` tokens, up to the capacity.
    void add(moment now, std::uint64_t amount);

    /// Discards all tokens.
    void clear() { tokens_ = 0; }

    std::uint64_t tokens(moment now) const;
    std::uint64_t capacity() const;

    /// Capacity in tokens of a bucket with `parts`.
    std::uint64_t capacity_of(std::uint64_t parts) const;

    /// Time until `amount` tokens are available, at most `longest`; `longest`
    /// if the rate of this slice rounds down to 0.
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
    /// Fraction of a token, in units of 1 / share_parts.
    std::uint64_t remainder_ = 0;
    moment filled_{};
};

} // namespace tanagerhoist

#endif

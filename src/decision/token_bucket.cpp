#include "tanagerhoist/decision/token_bucket.hpp"

#include <algorithm>

namespace tanagerhoist
{

namespace
{

/// Maximum time credited in one step; keeps the product in `fill` below 2^64.
constexpr std::uint64_t max_fill_us = 10000000;

} // namespace

void token_bucket::use_share(moment now, std::uint64_t rate,
                             std::uint64_t burst, std::uint64_t parts)
{
    fill(now);
    rate_ = rate;
    burst_ = burst;
    use_parts(now, parts);
}

void token_bucket::use_parts(moment now, std::uint64_t parts)
{
    fill(now);
    parts_ = parts;
    tokens_ = std::min(tokens_, capacity());
}

std::uint64_t token_bucket::capacity_of(std::uint64_t parts) const
{
    return burst_ * token_unit / share_parts * parts +
           burst_ * token_unit % share_parts * parts / share_parts;
}

std::uint64_t token_bucket::capacity() const
{
    return std::max(min_capacity_, capacity_of(parts_));
}

void token_bucket::fill(moment now)
{
    if (now <= filled_)
    {
        return;
    }
    const std::uint64_t passed =
        std::min(to_us(now) - to_us(filled_), max_fill_us);
    filled_ = now;
    // One request per second equals one token per microsecond. The product
    // stays below 10^6 * 2^20 * 10^7 < 2^64.
    const std::uint64_t earned = rate_ * parts_ * passed + remainder_;
    remainder_ = earned % share_parts;
    tokens_ = std::min(capacity(), tokens_ + earned / share_parts);
}

bool token_bucket::take(moment now, std::uint64_t amount)
{
    fill(now);
    if (tokens_ < amount)
    {
        return false;
    }
    tokens_ -= amount;
    return true;
}

void token_bucket::add(moment now, std::uint64_t amount)
{
    fill(now);
    tokens_ = std::min(capacity(), tokens_ + amount);
}

std::uint64_t token_bucket::tokens(moment now) const
{
    token_bucket copy = *this;
    copy.fill(now);
    return copy.tokens_;
}

milliseconds token_bucket::time_until_available(moment now,
                                                std::uint64_t amount,
                                                milliseconds longest) const
{
    const std::uint64_t have = tokens(now);
    const std::uint64_t speed = rate_ * parts_ / share_parts;
    if (have >= amount || speed == 0)
    {
        return have >= amount ? milliseconds(0) : longest;
    }
    const std::uint64_t wait_us = (amount - have) / speed + 1;
    return std::min(longest, milliseconds(wait_us / 1000 + 1));
}

} // namespace tanagerhoist

#include "tanagerhoist/decision/slice_policy.hpp"

#include "tanagerhoist/decision/token_bucket.hpp"

#include <algorithm>

namespace tanagerhoist
{

namespace
{

std::uint64_t excess(std::uint64_t has, std::uint64_t needed)
{
    return has > needed ? has - needed : 0;
}

} // namespace

proto::Slice demand_policy::give(const holding& has, const proto::Slice& want,
                                 bool urgent) const
{
    const std::uint64_t spare = excess(has.parts, has.needed_parts);
    std::uint64_t parts = std::min(want.parts(), spare);
    // A request already waiting at the peer takes precedence over expected
    // demand here.
    const std::uint64_t idle =
        std::max(excess(has.tokens, has.needed_tokens),
                 urgent ? std::min(has.tokens, token_unit) : 0);
    std::uint64_t tokens = std::min(want.tokens(), idle);
    if (has.whole_tokens != 0)
    {
        // Transfers enough parts to hold the tokens, even if this holder needs
        // the parts: it can ask for them back, but tokens can't be transferred
        // without parts.
        const std::uint64_t carrying =
            (tokens * share_parts + has.whole_tokens - 1) / has.whole_tokens;
        parts = std::min(std::max(parts, carrying), has.parts);
        // Tokens above the capacity of the remaining parts are transferred
        // too.
        const std::uint64_t held =
            has.whole_tokens * (has.parts - parts) / share_parts;
        tokens = std::max(tokens, excess(has.tokens, held));
        tokens = std::min(tokens, has.whole_tokens * parts / share_parts);
    }
    proto::Slice given;
    given.set_parts(parts);
    given.set_tokens(tokens);
    return given;
}

proto::Slice fixed_policy::give(const holding& /*has*/,
                                const proto::Slice& /*want*/,
                                bool /*urgent*/) const
{
    return {};
}

} // namespace tanagerhoist

#include "tanagerhoist/decision/rendezvous.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace tanagerhoist
{

namespace
{

std::uint64_t hash_of(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t score(std::uint64_t name, std::uint64_t key)
{
    const std::array<std::uint64_t, 2> pair{name, key};
    return XXH3_64bits(pair.data(), sizeof pair);
}

} // namespace

rendezvous::rendezvous(const std::vector<std::string>& names)
{
    candidates_.reserve(names.size());
    for (const auto& name : names)
    {
        candidates_.push_back({hash_of(name), name});
    }
}

std::vector<std::string> rendezvous::top(std::string_view key,
                                         std::size_t count) const
{
    using ranked = std::pair<std::uint64_t, const std::string*>;
    const auto before = [](const ranked& a, const ranked& b)
    { return a.first != b.first ? a.first > b.first : *a.second < *b.second; };
    const std::uint64_t key_hash = hash_of(key);
    std::vector<ranked> best; // sorted, at most `count` entries
    for (const auto& each : candidates_)
    {
        const ranked entry{score(each.hash, key_hash), &each.name};
        if (best.size() == count && (count == 0 || !before(entry, best.back())))
        {
            continue;
        }
        best.insert(std::lower_bound(best.begin(), best.end(), entry, before),
                    entry);
        if (best.size() > count)
        {
            best.pop_back();
        }
    }
    std::vector<std::string> names;
    names.reserve(best.size());
    for (const auto& entry : best)
    {
        names.push_back(*entry.second);
    }
    return names;
}

} // namespace tanagerhoist

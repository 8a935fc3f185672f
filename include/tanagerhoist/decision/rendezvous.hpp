#ifndef TANAGERHOIST_DECISION_RENDEZVOUS_HPP
#define TANAGERHOIST_DECISION_RENDEZVOUS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerhoist
{

/// Rendezvous (highest random weight) hashing. Every VM with the same list
/// chooses the same owners; adding or removing a VM reassigns only the keys
/// that it owns.
class rendezvous
{
public:
    rendezvous() = default;

    /// @param names candidates without duplicates, in any order
    explicit rendezvous(const std::vector<std::string>& names);

    /// Returns the `count` names with the highest scores for `key`, highest
    /// first; all names if there are fewer.
    std::vector<std::string> top(std::string_view key, std::size_t count) const;

private:
    struct candidate
    {
        std::uint64_t hash;
        std::string name;
    };

    std::vector<candidate> candidates_;
};

} // namespace tanagerhoist

#endif

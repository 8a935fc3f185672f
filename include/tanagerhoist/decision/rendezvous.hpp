#ifndef TANAGERHOIST_DECISION_RENDEZVOUS_HPP
#define TANAGERHOIST_DECISION_RENDEZVOUS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerhoist
{

/// Chooses owners by rendezvous hashing: every VM with the same list chooses
/// the same ones, and a VM that comes or goes moves only its own part.
class rendezvous
{
public:
    rendezvous() = default;

    /// @param names candidates, in any order, each once
    explicit rendezvous(const std::vector<std::string>& names);

    /// The `count` names of highest score for `key`, best first; fewer if
    /// there are fewer names.
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

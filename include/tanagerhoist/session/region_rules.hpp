#ifndef TANAGERHOIST_SESSION_REGION_RULES_HPP
#define TANAGERHOIST_SESSION_REGION_RULES_HPP

#include <map>
#include <optional>
#include <set>
#include <string>

namespace tanagerhoist
{

/// Names of regions. As a restriction, an empty set allows all regions.
using region_set = std::set<std::string>;

/// The regions that data centres lie in.
class region_map
{
public:
    region_map() = default;

    /// @param regions by data centre
    explicit region_map(std::map<std::string, std::string> regions);

    /// @return null if the data centre's region is unknown
    const std::string* region_of(const std::string& data_centre) const;

    /// Whether any data centre is known to lie in the region.
    bool has_region(const std::string& region) const;

private:
    std::map<std::string, std::string> regions_; ///< by data centre
};

/// Where a session's statements may run: in the regions that both its route and
/// its workspace allow. It refers to the map and the sets that it is made of.
class region_restriction
{
public:
    /// @param route regions that the route allows; null: all
    /// @param workspace regions that the workspace allows; null: all
    region_restriction(const region_map& regions, const region_set* route,
                       const region_set* workspace);

    bool is_restricted() const
    {
        return route_ != nullptr || workspace_ != nullptr;
    }

    /// Whether a server in the data centre may run the statements. One of
    /// unknown region may run only those that may run anywhere.
    bool allows(const std::string& data_centre) const;

    /// The allowed regions in a log line: "a,b" or "a,b and b,c".
    std::string text() const;

private:
    const region_map& regions_;
    const region_set* route_;
    const region_set* workspace_;
};

/// Why no server may run a statement.
enum class region_refusal
{
    none,             ///< one may, or can be expected to
    no_server,        ///< none of the group is in an allowed region
    primary_elsewhere ///< it needs the primary, which is not in one
};

/// What a VM knows of a group, as far as a restriction is concerned.
struct group_regions
{
    bool has_servers = false;         ///< any is known
    bool has_allowed_servers = false; ///< any of them is in an allowed region
    /// Whether the primary is in an allowed region; nullopt: there is no
    /// primary at present, or its data centre is unknown.
    std::optional<bool> primary_allowed;
};

/// Decides whether a restricted statement is refused at once. While there is no
/// primary it can wait for the next one, if any server is allowed.
region_refusal refusal_in(const group_regions& group, bool needs_primary);

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_SESSION_SETTINGS_FINDINGS_HPP
#define TANAGERHOIST_SESSION_SETTINGS_FINDINGS_HPP

#include "tanagerhoist/session/session_settings.hpp"

#include <string>
#include <vector>

namespace tanagerhoist
{

/// An entry that can be read but has no use, or contradicts itself or others.
struct settings_finding
{
    std::string place; ///< such as `route orders`
    std::string text;
};

/// Entries that can never match and limits that contradict each other, sorted
/// by place.
std::vector<settings_finding> find_faults(const session_settings& settings);

/// What differs between two versions: `+ route NAME`, `- route NAME`,
/// `~ route NAME priority: 0 -> 1`, and the same for groups and workspaces.
/// Keys are counted, not shown. Sorted by kind and name; versions are not
/// compared.
std::vector<std::string> find_changes(const session_settings& current,
                                      const session_settings& next);

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_SETTINGS_SETTINGS_DIFF_HPP
#define TANAGERHOIST_SETTINGS_SETTINGS_DIFF_HPP

#include "settings.pb.h"

#include <string>
#include <vector>

namespace tanagerhoist
{

/// What publishing `next` over `current` would change, one line each, changes
/// and removals before additions, in
/// ascending order of section: `+ [TYPE NAME]`, `- [TYPE NAME]` and
/// `~ [TYPE NAME] key: old -> new`. Versions are not compared.
std::vector<std::string> diff_settings(const proto::Settings& current,
                                       const proto::Settings& next);

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_SETTINGS_SETTINGS_DIFF_HPP
#define TANAGERHOIST_SETTINGS_SETTINGS_DIFF_HPP

#include "settings.pb.h"

#include <string>
#include <vector>

namespace tanagerhoist
{

/// Returns the changes that publishing `next` over `current` would make, one
/// line each: `+ [TYPE NAME]`, `- [TYPE NAME]` and
/// `~ [TYPE NAME] key: old -> new`. Changes and removals precede additions, and
/// both are sorted by section. Versions are not compared.
std::vector<std::string> diff_settings(const proto::Settings& current,
                                       const proto::Settings& next);

} // namespace tanagerhoist

#endif

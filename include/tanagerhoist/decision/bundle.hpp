#ifndef TANAGERHOIST_DECISION_BUNDLE_HPP
#define TANAGERHOIST_DECISION_BUNDLE_HPP

#include "settings.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace tanagerhoist
{

/// Settings serialized for the object store. `content` is deterministic, and
/// `name` is derived from its hash, so a replaced object is detected.
struct settings_bundle
{
    std::string name; ///< `settings/` and the SHA-256 of the content
    std::string content;
};

/// Serializes settings. Sections of each type are sorted by name first, so the
/// result does not depend on the order of files and sections.
settings_bundle make_bundle(proto::Settings settings);

/// Parses a bundle.
/// @return empty if the content does not match the name or is not a valid
///   settings message
std::optional<proto::Settings> open_bundle(std::string_view name,
                                           std::string_view content);

} // namespace tanagerhoist

#endif

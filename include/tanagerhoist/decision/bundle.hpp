#ifndef TANAGERHOIST_DECISION_BUNDLE_HPP
#define TANAGERHOIST_DECISION_BUNDLE_HPP

#include "settings.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace tanagerhoist
{

/// Published settings in the form that the object store holds: `content` is
/// the same for equal settings, and `name` is derived from it, so an object
/// cannot be exchanged unnoticed.
struct settings_bundle
{
    std::string name; ///< `settings/` and the SHA-256 of the content
    std::string content;
};

/// Serializes settings; sections of one type are put in order of name first,
/// so that the order of files and sections does not matter.
settings_bundle make_bundle(proto::Settings settings);

/// Reads back a bundle; empty if the content does not match the name or is no
/// settings message.
std::optional<proto::Settings> open_bundle(std::string_view name,
                                           std::string_view content);

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_SETTINGS_INI_READER_HPP
#define TANAGERHOIST_SETTINGS_INI_READER_HPP

#include "settings.pb.h"
#include "tanagerhoist/settings/settings_error.hpp"

#include <boost/leaf/result.hpp>

#include <filesystem>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// The content of one settings file.
struct settings_text
{
    std::string file; ///< file name for error messages
    std::string content;
};

/// Reads the operators' files as one set. A section may refer to sections of
/// other files and may occur only once in the whole set.
///
/// The sections and keys are the message and field names of settings.proto and
/// are checked by the `rule` of each field. Numeric keys that are absent take
/// the rule's `fallback`.
///
/// @return the settings with version 0; otherwise an error that carries
///     `settings_errors` with all errors of the set
boost::leaf::result<proto::Settings>
read_settings(const std::vector<std::filesystem::path>& files);

/// As `read_settings`, for texts in memory.
boost::leaf::result<proto::Settings>
read_settings_texts(const std::vector<settings_text>& texts);

/// Reads a daemon's own settings file; errors as for `read_settings`.
boost::leaf::result<proto::DaemonSettings>
read_daemon_settings(const std::filesystem::path& file);

/// As `read_daemon_settings`, for a text in memory.
boost::leaf::result<proto::DaemonSettings>
read_daemon_settings_text(const settings_text& text);

/// Reads the own settings file of a daemon that serves sessions; errors as for
/// `read_settings`.
boost::leaf::result<proto::SessionDaemonSettings>
read_session_daemon_settings(const std::filesystem::path& file);

/// Whether a daemon's own settings file has a `[sessions]` section, which makes
/// the daemon serve sessions.
bool has_sessions_section(const std::filesystem::path& file);

/// Lists the `.ini` files directly in `directory`, sorted by name. Returns an
/// empty list if the directory cannot be read.
std::vector<std::filesystem::path>
list_settings_files(const std::filesystem::path& directory);

} // namespace tanagerhoist

#endif

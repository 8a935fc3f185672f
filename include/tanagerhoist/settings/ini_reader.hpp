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

/// One settings file held in memory.
struct settings_text
{
    std::string file; ///< name for messages
    std::string content;
};

/// Reads the operators' files as one set. Sections may refer to sections of
/// another file, and a section may occur once in the whole set.
///
/// The sections and keys are the message and field names of settings.proto,
/// checked by the `rule` of each field; absent numbers take their fallback.
///
/// @return the settings, version 0; on any fault, an error that carries
///     `settings_errors` with every fault of the set
boost::leaf::result<proto::Settings>
read_settings(const std::vector<std::filesystem::path>& files);

/// As above, over texts in memory.
boost::leaf::result<proto::Settings>
read_settings_texts(const std::vector<settings_text>& texts);

/// Reads a daemon's own file; errors as above.
boost::leaf::result<proto::DaemonSettings>
read_daemon_settings(const std::filesystem::path& file);

/// As above, over a text in memory.
boost::leaf::result<proto::DaemonSettings>
read_daemon_settings_text(const settings_text& text);

/// Reads the own file of a daemon that serves sessions; errors as above.
boost::leaf::result<proto::SessionDaemonSettings>
read_session_daemon_settings(const std::filesystem::path& file);

/// Whether a daemon's own file has a section that asks for sessions.
bool has_sessions_section(const std::filesystem::path& file);

/// The `.ini` files directly in `directory`, in ascending order of name; empty
/// if it cannot be read.
std::vector<std::filesystem::path>
list_settings_files(const std::filesystem::path& directory);

} // namespace tanagerhoist

#endif

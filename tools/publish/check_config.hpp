#ifndef TANAGERHOIST_TOOLS_PUBLISH_CHECK_CONFIG_HPP
#define TANAGERHOIST_TOOLS_PUBLISH_CHECK_CONFIG_HPP

#include "command_line.hpp"

namespace tanagerhoist::publish
{

/// Whether `file` holds a configuration of the platform, which is JSON, and not
/// settings.
bool is_config(const std::filesystem::path& file);

/// Checks the configuration that `line` names, and compares it with that of
/// `--against`.
exit_code check_config(const command_line& line);

} // namespace tanagerhoist::publish

#endif

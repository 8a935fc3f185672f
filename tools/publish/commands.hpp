#ifndef TANAGERHOIST_TOOLS_PUBLISH_COMMANDS_HPP
#define TANAGERHOIST_TOOLS_PUBLISH_COMMANDS_HPP

#include "command_line.hpp"
#include "tanagerhoist/settings/platform_client.hpp"

namespace tanagerhoist::publish
{

/// Runs the command that `line` names.
/// @param platform called only by those commands that need it
exit_code run(const command_line& line, platform_client& platform);

} // namespace tanagerhoist::publish

#endif

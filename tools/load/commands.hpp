#ifndef TANAGERHOIST_TOOLS_LOAD_COMMANDS_HPP
#define TANAGERHOIST_TOOLS_LOAD_COMMANDS_HPP

#include "command_line.hpp"
#include "fleet_config.hpp"
#include "load_client.hpp"

#include <boost/asio/io_context.hpp>

namespace tanagerhoist::load
{

/// Arguments and dependencies of a command. Every command runs on a fiber.
struct command_context
{
    boost::asio::io_context& io;
    load_client& client;
    const command_line& line;
    const fleet_config& fleet; ///< empty for commands whose target is a process
};

// The commands that `--help` lists.

exit_code ask(command_context& context);
exit_code dump(command_context& context);
exit_code metrics(command_context& context);
exit_code fault(command_context& context);
exit_code wait(command_context& context);
exit_code session(command_context& context);
exit_code run(command_context& context);

} // namespace tanagerhoist::load

#endif

#include "commands.hpp"
#include "tanagerhoist/adapter/fiber_loop.hpp"
#include "tanagerhoist/settings/read_or_print.hpp"

#include <boost/fiber/fiber.hpp>

#include <algorithm>
#include <exception>
#include <iostream>
#include <iterator>

namespace tanagerhoist::load
{
namespace
{

struct command_row
{
    const char* name;
    bool needs_fleet; ///< whether the target is a settings directory
    exit_code (*run)(command_context&);
};

constexpr command_row commands[] = {
    {"ask", true, &ask},          {"dump", false, &dump},
    {"metrics", false, &metrics}, {"fault", false, &fault},
    {"wait", true, &wait},        {"session", true, &session},
    {"run", true, &run}};

/// Runs a command on its own fiber and returns when it has ended.
exit_code run_command(const command_row& row, const command_line& line,
                      const fleet_config& fleet)
{
    boost::asio::io_context io(1);
    load_client client(io);
    command_context context{io, client, line, fleet};
    auto code = exit_code::usage;
    boost::asio::post(io,
                      [&]
                      {
                          boost::fibers::fiber(
                              [&]
                              {
                                  code = row.run(context);
                                  io.stop();
                              })
                              .detach();
                      });
    run_fiber_loop(io);
    return code;
}

exit_code run_with_fleet(const command_row& row, const command_line& line)
{
    const auto fleet = read_or_print<fleet_config>(
        [&line] { return read_fleet_config(line.target, line.keys_file); },
        std::cerr);
    return fleet ? run_command(row, line, *fleet) : exit_code::settings;
}

exit_code dispatch(const command_line& line)
{
    const auto* row =
        std::find_if(std::begin(commands), std::end(commands),
                     [&](const auto& at) { return line.command == at.name; });
    if (row == std::end(commands))
    {
        std::cerr << "unknown command " << line.command << "; see --help\n";
        return exit_code::usage;
    }
    return row->needs_fleet ? run_with_fleet(*row, line)
                            : run_command(*row, line, fleet_config());
}

} // namespace
} // namespace tanagerhoist::load

/// Generates load and runs checks against a fleet of daemons.
int main(int argc, char** argv)
{
    using namespace tanagerhoist::load;
    auto code = exit_code::usage;
    try
    {
        if (const auto line = parse(argc, argv, code))
        {
            code = dispatch(*line);
        }
    }
    catch (const std::exception& error)
    {
        std::cerr << "tanagerhoist-load: " << error.what() << '\n';
        return static_cast<int>(exit_code::usage);
    }
    return static_cast<int>(code);
}

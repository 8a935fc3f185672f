#include "command_line.hpp"
#include "commands.hpp"
#include "tanagerhoist/adapter/http_platform_client.hpp"

#include <exception>
#include <iostream>

/// Validates and publishes the operators' settings and shows their rollout.
int main(int argc, char** argv)
{
    using namespace tanagerhoist;
    auto code = publish::exit_code::usage;
    try
    {
        if (const auto line = publish::parse(argc, argv, code))
        {
            http_platform_client platform(line->platform_address,
                                          line->platform_port, line->timeout);
            code = publish::run(*line, platform);
        }
    }
    catch (const std::exception& error)
    {
        std::cerr << "tanagerhoist-publish: " << error.what() << '\n';
        return static_cast<int>(publish::exit_code::usage);
    }
    return static_cast<int>(code);
}

#include "standin/command_line.hpp"

#include <iostream>
#include <sstream>

namespace tanagerhoist::standin
{

parsed_command_line parse_command_line(cxxopts::Options& options, int argc,
                                       char** argv)
{
    options.add_options()("help", "print this help and exit")(
        "version", "print the version and exit");
    try
    {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0)
        {
            std::cout << options.help() << '\n';
            return {};
        }
        if (parsed.count("version") != 0)
        {
            std::cout << TANAGERHOIST_VERSION << '\n';
            return {};
        }
        if (!parsed.unmatched().empty())
        {
            std::cerr << "unexpected: " << parsed.unmatched().front() << '\n';
            return {std::nullopt, exit_usage};
        }
        return {std::move(parsed), exit_ok};
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << error.what() << '\n';
        return {std::nullopt, exit_usage};
    }
}

std::vector<std::string> split_option(const std::string& text,
                                      std::size_t count)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
    {
        parts.push_back(part);
    }
    if (parts.size() != count)
    {
        throw cxxopts::exceptions::incorrect_argument_type(text);
    }
    return parts;
}

} // namespace tanagerhoist::standin

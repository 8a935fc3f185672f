#include "check_config.hpp"

#include "platform/operator_config.hpp"
#include "platform/repeated_fields.hpp"
#include "tanagerhoist/session/settings_findings.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace tanagerhoist::publish
{
namespace
{

namespace json = boost::json;

/// What a check has found.
struct check_result
{
    std::vector<platform::config_fault> errors;
    std::vector<platform::config_fault> findings;
    std::vector<std::string> changes;
};

/// @return nothing if the file can't be read
std::optional<std::string> read_file(const std::filesystem::path& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    return file.is_open() && !file.bad() ? std::optional(std::move(text))
                                         : std::nullopt;
}

void add_findings(const std::string& text,
                  const platform::config_report& report, check_result& result)
{
    result.findings = report.unusable;
    result.findings.insert(result.findings.end(), report.repeated.begin(),
                           report.repeated.end());
    for (const auto& place : platform::repeated_fields(text))
    {
        result.findings.push_back({place, "is given twice; the last counts"});
    }
    for (const auto& finding : find_faults(*report.settings))
    {
        result.findings.push_back({finding.place, finding.text});
    }
}

/// Reads a configuration; its errors go into `result`, with the file's name.
platform::config_report read(const std::filesystem::path& path,
                             std::string& text, check_result& result)
{
    platform::config_report report;
    if (auto content = read_file(path))
    {
        text = std::move(*content);
        report = platform::read_config(text);
    }
    else
    {
        report.errors.push_back({"", "can't be read"});
    }
    for (const auto& error : report.errors)
    {
        const auto inside = error.place.empty() ? "" : ": " + error.place;
        result.errors.push_back({path.string() + inside, error.reason});
    }
    return report;
}

json::array to_json(const std::vector<platform::config_fault>& faults)
{
    json::array list;
    for (const auto& fault : faults)
    {
        list.push_back(
            json::object{{"place", fault.place}, {"text", fault.reason}});
    }
    return list;
}

void print_json(const check_result& result)
{
    json::array changes;
    for (const auto& change : result.changes)
    {
        changes.emplace_back(change);
    }
    std::cout << json::serialize(
                     json::object{{"errors", to_json(result.errors)},
                                  {"findings", to_json(result.findings)},
                                  {"changes", std::move(changes)}})
              << '\n';
}

void print_text(const check_result& result)
{
    for (const auto& error : result.errors)
    {
        std::cout << "error: " << to_text(error) << '\n';
    }
    for (const auto& finding : result.findings)
    {
        std::cout << "finding: " << to_text(finding) << '\n';
    }
    for (const auto& change : result.changes)
    {
        std::cout << change << '\n';
    }
    std::cout << result.errors.size() << " errors, " << result.findings.size()
              << " findings, " << result.changes.size() << " changes\n";
}

exit_code code_of(const check_result& result)
{
    if (!result.errors.empty())
    {
        return exit_code::settings_error;
    }
    return result.findings.empty() ? exit_code::ok : exit_code::findings;
}

} // namespace

bool is_config(const std::filesystem::path& file)
{
    if (!std::filesystem::is_regular_file(file))
    {
        return false;
    }
    const auto text = read_file(file).value_or("");
    const auto first = text.find_first_not_of(" \t\r\n");
    return first != std::string::npos && text[first] == '{';
}

exit_code check_config(const command_line& line)
{
    check_result result;
    std::string text;
    const auto checked = read(line.paths.front(), text, result);
    if (checked.settings)
    {
        add_findings(text, checked, result);
    }
    if (!line.against.empty())
    {
        const auto current = read(line.against, text, result);
        if (checked.settings && current.settings)
        {
            result.changes = find_changes(*current.settings, *checked.settings);
        }
    }
    line.json ? print_json(result) : print_text(result);
    return code_of(result);
}

} // namespace tanagerhoist::publish

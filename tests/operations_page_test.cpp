#include "proxy_fixture.hpp"

#include <boost/json/parse.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <regex>
#include <set>

namespace tanagerhoist
{
namespace
{

namespace json = boost::json;

/// Fields that the log adds to each line.
const std::set<std::string> common_fields{"t", "ms", "vm", "dropped"};

std::vector<json::object> page_lines()
{
    std::ifstream page(std::string(TANAGERHOIST_SOURCE_DIR) +
                       "/docs/OPERATIONS.md");
    std::vector<json::object> found;
    std::string text;
    while (std::getline(page, text))
    {
        if (text.rfind("    {", 0) == 0)
        {
            found.push_back(json::parse(text.substr(4)).as_object());
        }
    }
    return found;
}

/// Replaces the variable parts of a cause: numbers and the fleet state.
std::string shape_of(const std::string& cause)
{
    static const std::regex varying("[0-9]+|fleet [a-z]+");
    return std::regex_replace(cause, varying, "*");
}

std::string text_of(const json::object& line, const char* field)
{
    return std::string(line.at(field).as_string());
}

/// Finds the example line of the page with the same event and cause.
const json::object* find_line(const std::vector<json::object>& lines,
                              const recording_log::line& written)
{
    for (const auto& line : lines)
    {
        if (line.contains("cause") &&
            text_of(line, "event") == written.at("event") &&
            shape_of(text_of(line, "cause")) == shape_of(written.at("cause")))
        {
            return &line;
        }
    }
    return nullptr;
}

/// Checks that the page has an example with the event, cause and fields of the
/// last line written.
void check_page_shows(const proxy_fixture& f)
{
    const auto lines = page_lines();
    const auto& written = f.lines.lines.back();
    const auto* shown = find_line(lines, written);
    CPPUNIT_ASSERT_MESSAGE(written.at("cause"), shown != nullptr);
    std::set<std::string> fields;
    for (const auto& field : *shown)
    {
        fields.insert(std::string(field.key()));
    }
    std::set<std::string> expected = common_fields;
    expected.erase("dropped");
    for (const auto& [name, value] : written)
    {
        expected.insert(name);
    }
    CPPUNIT_ASSERT(fields == expected);
}

} // namespace

class operations_page_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operations_page_test);
    CPPUNIT_TEST(refusal_for_the_rate_is_shown_as_written);
    CPPUNIT_TEST(refusal_without_a_coordinator_is_shown_as_written);
    CPPUNIT_TEST(unknown_outcome_is_shown_as_written);
    CPPUNIT_TEST(refusal_without_a_server_is_shown_as_written);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusal_for_the_rate_is_shown_as_written()
    {
        proxy_fixture f;
        f.settings.version = 2;
        f.settings.workspaces["w"] = {1, 1};
        f.use_settings();
        f.seal(); // operations stay queued and use up the limit
        workspace_limits::grants given;
        auto& one = *given.Add();
        one.set_workspace("w");
        one.set_exhausted(true);
        one.set_empty(true);
        f.subject.use_grants(f.now, given);
        for (int i = 0; i < 60; ++i)
        {
            f.ask(f.start("primary"), f.make(statement_kind::write, "1"));
        }
        f.advance(milliseconds(400)); // longer than statements wait for a grant
        f.subject.tick(f.now);
        check_page_shows(f);
    }

    void refusal_without_a_coordinator_is_shown_as_written()
    {
        proxy_fixture f;
        f.subject.use_members(f.now, 195);
        for (int i = 0; i < 40; ++i)
        {
            f.ask(f.start("primary"), f.make(statement_kind::begin));
        }
        check_page_shows(f);
    }

    void unknown_outcome_is_shown_as_written()
    {
        proxy_fixture f;
        f.ask(f.start("primary"), f.make(statement_kind::write, "1"));
        f.open_last();
        f.advance(milliseconds(10));
        f.subject.connection_lost(f.now, f.transport.sent.back().connection);
        check_page_shows(f);
    }

    void refusal_without_a_server_is_shown_as_written()
    {
        proxy_fixture f;
        f.seal();
        f.ask(f.start("primary"), f.make(statement_kind::write, "1"));
        f.advance(milliseconds(1000));
        f.subject.tick(f.now);
        check_page_shows(f);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operations_page_test);

} // namespace tanagerhoist

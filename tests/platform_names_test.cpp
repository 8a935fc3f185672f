#include "platform/operator_config.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist
{
namespace
{

/// A configuration with one route, whose database has this name as JSON.
std::string config_with_database(const std::string& name)
{
    return R"({"version":7,"routes":[{"database":")" + name +
           R"(","backend":"g","type":"primary","timeoutMs":1,)"
           R"("targetLatencyMs":1}],"services":[],"tenants":[]})";
}

/// A server's entry with this address and data centre as JSON.
std::string server_entry(const std::string& address, const std::string& zone)
{
    return R"({"backend":"g","address":")" + address + R"(","zone":")" + zone +
           R"(","slots":5,"state":"ready"})";
}

} // namespace

/// Names that operators and servers give, with any text.
class platform_names_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_names_test);
    CPPUNIT_TEST(names_with_any_text_are_whole_or_rejected);
    CPPUNIT_TEST(address_with_nul_is_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void names_with_any_text_are_whole_or_rejected()
    {
        const std::vector<std::pair<std::string, std::string>> names{
            {R"(a\u0000b)", std::string("a\0b", 3)},
            {R"(a\"\\\/b)", "a\"\\/b"},
            {R"(a\u00e9)", "a\xc3\xa9"},
            {R"(\ud83d\ude00)", "\xf0\x9f\x98\x80"}};
        for (const auto& [text, name] : names)
        {
            std::string fault;
            const auto settings =
                platform::decode_config(config_with_database(text), fault);
            CPPUNIT_ASSERT_MESSAGE(text + fault, settings != nullptr);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, settings->routes.size());
            CPPUNIT_ASSERT_EQUAL(name, settings->routes.begin()->first);
        }
        for (const std::string text :
             {R"(\ud800)", R"(\udc00)", R"(\ud800x)", R"(\ud800\u0041)", "\xff",
              "\xed\xa0\x80", "a\nb", R"(\u12)", R"(\x41)"})
        {
            std::string fault;
            CPPUNIT_ASSERT_MESSAGE(
                text,
                !platform::decode_config(config_with_database(text), fault));
            CPPUNIT_ASSERT(!platform::decode_server(
                "i-1", server_entry("10.1.0.9:1", text), fault));
        }
    }

    void address_with_nul_is_rejected()
    {
        std::string fault;
        CPPUNIT_ASSERT(platform::decode_server(
            "i-1", server_entry("10.1.0.9:1", "a"), fault));
        for (const auto* address :
             {R"(10.1.0.9\u0000.example:1)", R"(10.1.0.9:1\u0000)",
              R"(10.1.0.9 :1)", R"(\u000010.1.0.9:1)"})
        {
            CPPUNIT_ASSERT_MESSAGE(
                address, !platform::decode_server(
                             "i-1", server_entry(address, "a"), fault));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_names_test);

} // namespace tanagerhoist

#include "tanagerhoist/decision/authenticator.hpp"
#include "tanagerhoist/settings/ini_reader.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>
#include <string>

namespace tanagerhoist
{
namespace
{

std::filesystem::path example_directory(const std::string& example)
{
    return std::filesystem::path(TANAGERHOIST_SOURCE_DIR) / "examples" /
           example;
}

/// Returns the example keys, which the comments of `keys.ini` list.
std::vector<std::string> example_keys_in(const std::string& example)
{
    std::vector<std::string> keys;
    std::ifstream file(example_directory(example) / "keys.ini");
    for (std::string line; std::getline(file, line);)
    {
        if (line.rfind(";   ", 0) == 0)
        {
            keys.push_back(line.substr(4));
        }
    }
    return keys;
}

} // namespace

class examples_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(examples_test);
    CPPUNIT_TEST(examples_are_valid_and_complete);
    CPPUNIT_TEST(example_keys_authenticate_to_every_workspace);
    CPPUNIT_TEST(example_daemons_have_distinct_ports);
    CPPUNIT_TEST_SUITE_END();

public:
    void examples_are_valid_and_complete()
    {
        for (const auto& [example, slots] :
             {std::pair("corrib", 5U), std::pair("agency", 2U)})
        {
            const auto settings =
                read_settings(list_settings_files(example_directory(example)));
            CPPUNIT_ASSERT_MESSAGE(example, settings);
            CPPUNIT_ASSERT_EQUAL(3, settings->database_size());
            CPPUNIT_ASSERT_EQUAL(9, settings->server_size());
            CPPUNIT_ASSERT_EQUAL(8, settings->workspace_size());
            std::set<std::uint64_t> ports;
            for (const auto& server : settings->server())
            {
                ports.insert(server.port());
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(9), ports.size());
            for (const auto& database : settings->database())
            {
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(slots), database.slots());
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(30), database.connections());
            }
        }
    }

    void example_keys_authenticate_to_every_workspace()
    {
        for (const char* example : {"corrib", "agency"})
        {
            const settings_view view(*read_settings(
                list_settings_files(example_directory(example))));
            std::set<std::string> opened;
            for (const auto& key : example_keys_in(example))
            {
                const auto result = authenticate(view, key);
                CPPUNIT_ASSERT_MESSAGE(key, result.code == result_code::ok);
                opened.insert(result.principal.workspace());
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(8), opened.size());
        }
    }

    void example_daemons_have_distinct_ports()
    {
        for (const char* example : {"corrib", "agency"})
        {
            std::set<std::uint64_t> ports;
            std::set<std::string> data_centres;
            for (int vm = 1; vm <= 7; ++vm)
            {
                const std::string name = "vm" + std::to_string(vm);
                const auto settings = read_daemon_settings(
                    example_directory(example) / "vm" / (name + ".ini"));
                CPPUNIT_ASSERT_MESSAGE(name, settings);
                CPPUNIT_ASSERT_EQUAL(name, settings->vm().name());
                ports.insert(settings->listen().caller_port());
                ports.insert(settings->listen().peer_port());
                data_centres.insert(settings->vm().data_centre());
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(14), ports.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), data_centres.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(examples_test);

} // namespace tanagerhoist

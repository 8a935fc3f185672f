#include "tanagerhoist/settings/ini_reader.hpp"

#include "tanagerhoist/decision/bundle.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace tanagerhoist
{
namespace
{

namespace leaf = boost::leaf;
using kind = fault_kind;

const std::string database = "[database d1]\nconnections = 30\nslots = 5\n";
const std::string workspace = "[workspace w]\nrate = 10\nburst = 20\n";

/// Faults of whatever `read` returns; none if it succeeds.
template <class Read>
std::vector<settings_fault> faults_of(Read read)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<settings_fault>>
        {
            BOOST_LEAF_CHECK(read());
            return std::vector<settings_fault>();
        },
        [](const settings_faults& faults) { return faults.all; },
        []
        {
            CPPUNIT_FAIL("an error without faults");
            return std::vector<settings_fault>();
        });
}

std::vector<settings_fault> faults_in(const std::string& content)
{
    return faults_of([&] { return read_settings_texts({{"a.ini", content}}); });
}

std::vector<settings_fault> daemon_faults_in(const std::string& content)
{
    return faults_of(
        [&] {
            return read_daemon_settings_text({"vm.ini", content});
        });
}

/// Expects exactly one fault with this place.
void expect_one(const std::vector<settings_fault>& faults, kind expected,
                unsigned line, const std::string& section,
                const std::string& key)
{
    std::string all;
    for (const auto& fault : faults)
    {
        all += to_text(fault) + '\n';
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(all, std::size_t(1), faults.size());
    CPPUNIT_ASSERT_MESSAGE(all, faults.front().kind == expected);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(all, line, faults.front().line);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(all, section, faults.front().section);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(all, key, faults.front().key);
}

} // namespace

class ini_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ini_reader_test);
    CPPUNIT_TEST(read_good_set_fills_values_and_fallbacks);
    CPPUNIT_TEST(read_section_faults_name_header);
    CPPUNIT_TEST(read_key_faults_name_line_and_key);
    CPPUNIT_TEST(read_value_faults_name_line_and_key);
    CPPUNIT_TEST(read_syntax_faults_are_all_found);
    CPPUNIT_TEST(read_several_faults_shows_all_at_once);
    CPPUNIT_TEST(read_duplicate_over_files_names_both_places);
    CPPUNIT_TEST(read_mistyped_hash_is_not_shown);
    CPPUNIT_TEST(read_files_unreadable_oversized_or_none_are_faults);
    CPPUNIT_TEST(read_daemon_absent_section_names_required_keys);
    CPPUNIT_TEST(fault_text_is_one_printable_line);
    CPPUNIT_TEST(bundle_order_of_sections_does_not_matter);
    CPPUNIT_TEST(bundle_changed_content_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void read_good_set_fills_values_and_fallbacks()
    {
        const std::string text =
            "\xef\xbb\xbf; comment\r\n" + database + workspace +
            "[ route book ]\n  database = d1 ; comment\n kind=write\n";
        auto settings = read_settings_texts({{"a.ini", text}});
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(30),
                             settings->database(0).connections());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), settings->workspace(0).weight());
        CPPUNIT_ASSERT_EQUAL(std::string("book"), settings->route(0).name());
        CPPUNIT_ASSERT_EQUAL(std::string("d1"), settings->route(0).database());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5000),
                             settings->route(0).deadline_ms());
    }

    void read_section_faults_name_header()
    {
        for (const std::string header : {"shop a", "database", "database a b",
                                         "version", "", "database a.b"})
        {
            std::string text = database;
            text.append("[").append(header).append("]\nx = 1\n");
            expect_one(faults_in(text), kind::unknown_section, 4, header, "");
        }
        expect_one(faults_in(database + database), kind::duplicate_section, 4,
                   "database d1", "");
        expect_one(daemon_faults_in("[vm a]\n[vm]\nname = a\ndata_centre = b\n"
                                    "[listen]\naddress = ::1\ncaller_port = 1\n"
                                    "peer_port = 2\n[platform]\n"
                                    "address = 127.0.0.1\nport = 3\n"),
                   kind::unknown_section, 1, "vm a", "");
    }

    void read_key_faults_name_line_and_key()
    {
        expect_one(faults_in(database + "port = 1\n"), kind::unknown_key, 4,
                   "database d1", "port");
        expect_one(faults_in(database + "name = x\n"), kind::unknown_key, 4,
                   "database d1", "name");
        expect_one(faults_in(database + "slots = 5\n"), kind::duplicate_key, 4,
                   "database d1", "slots");
        expect_one(faults_in("\n[database d1]\nslots = 5\n"), kind::missing_key,
                   2, "database d1", "connections");
    }

    void read_value_faults_name_line_and_key()
    {
        const auto rate = [](const std::string& value) {
            return faults_in("[workspace w]\nburst = 1\nrate =" + value + '\n');
        };
        for (const char* value : {"", " ten", " 1.5", " -1", " 5x", " 0x5"})
        {
            expect_one(rate(value), kind::wrong_type, 3, "workspace w", "rate");
        }
        for (const char* value : {"0", "1000001", "99999999999999999999999"})
        {
            expect_one(rate(value), kind::out_of_range, 3, "workspace w",
                       "rate");
        }
        expect_one(faults_in(database + "leaving = maybe\n"),
                   kind::not_a_choice, 4, "database d1", "leaving");
        expect_one(faults_in("[server s]\ndatabase = d2\naddress = 127.0.0.1\n"
                             "port = 1\ndata_centre = a\n"),
                   kind::dangling_reference, 2, "server s", "database");
        expect_one(faults_in(database + "[server s]\ndatabase = d1\n"
                                        "address = host.example\nport = 1\n"
                                        "data_centre = a\n"),
                   kind::wrong_type, 6, "server s", "address");
        expect_one(faults_in(database + "[server s]\ndatabase = d1\n"
                                        "address = ::1\nport = 1\n"
                                        "data_centre = \xc3\xa9\n"),
                   kind::wrong_type, 8, "server s", "data_centre");
    }

    void read_syntax_faults_are_all_found()
    {
        const auto faults = faults_in(
            "early = 1\n" + database + "no setting\n[open\nx = 1\n" +
            workspace + "weight = " + std::string(300, '1') +
            "\nweight\x02 = 1\n[" + std::string(60, 'a') + "]\ny = 1\nlast");
        const std::vector<unsigned> lines{1, 5, 6, 11, 12, 13, 15};
        CPPUNIT_ASSERT_EQUAL(lines.size(), faults.size());
        for (std::size_t i = 0; i < lines.size(); ++i)
        {
            CPPUNIT_ASSERT_EQUAL(lines[i], faults[i].line);
            CPPUNIT_ASSERT(faults[i].kind == kind::syntax_error);
        }
    }

    void read_several_faults_shows_all_at_once()
    {
        const auto faults =
            faults_in("[database d1]\nslots = many\n[colour]\n"
                      "[workspace w]\nrate = 0\nburst = 1\ncolour = red\n");
        std::set<kind> kinds;
        for (const auto& fault : faults)
        {
            kinds.insert(fault.kind);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), faults.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), kinds.size());
    }

    void read_duplicate_over_files_names_both_places()
    {
        const auto faults = faults_of(
            []
            {
                return read_settings_texts(
                    {{"a.ini", database}, {"b.ini", "\n" + database}});
            });
        expect_one(faults, kind::duplicate_section, 2, "database d1", "");
        CPPUNIT_ASSERT_EQUAL(std::string("b.ini"), faults.front().file);
        CPPUNIT_ASSERT(faults.front().expected.find("a.ini:1") !=
                       std::string::npos);
    }

    void read_mistyped_hash_is_not_shown()
    {
        const auto faults =
            faults_in(workspace + "[key k]\nworkspace = w\n"
                                  "salt = 00\nhash = opensesame\n");
        expect_one(faults, kind::wrong_type, 7, "key k", "hash");
        CPPUNIT_ASSERT(to_text(faults.front()).find("opensesame") ==
                       std::string::npos);
    }

    void read_files_unreadable_oversized_or_none_are_faults()
    {
        expect_one(faults_of([] { return read_settings({"/nowhere/a.ini"}); }),
                   kind::unreadable_file, 0, "", "");
        expect_one(faults_of([] { return read_daemon_settings("/nowhere"); }),
                   kind::unreadable_file, 0, "", "");
        expect_one(faults_in(database + std::string(1U << 20U, '\n')),
                   kind::oversized_file, 0, "", "");
        expect_one(faults_of([] { return read_settings({}); }),
                   kind::unreadable_file, 0, "", "");
    }

    void read_daemon_absent_section_names_required_keys()
    {
        const auto faults = daemon_faults_in("[vm]\nname = a\n"
                                             "data_centre = b\n[platform]\n"
                                             "address = ::1\nport = 1\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), faults.size());
        CPPUNIT_ASSERT_EQUAL(std::string("listen"), faults[0].section);
        CPPUNIT_ASSERT_EQUAL(std::string("address"), faults[0].key);
    }

    void fault_text_is_one_printable_line()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("a.ini:3: [workspace w] rate: found \"0\", expected a "
                        "whole number of at least 1 and at most 1000000 "
                        "requests/s"),
            to_text(faults_in("[workspace w]\nburst = 1\nrate = 0\n").front()));
        CPPUNIT_ASSERT_EQUAL(
            std::string("f: found a?b, expected c"),
            to_text({kind::syntax_error, "f", 0, "", "", "a\nb", "c"}));
    }

    void bundle_order_of_sections_does_not_matter()
    {
        const std::string other = "[database d0]\nslots=1\nconnections=2\n";
        const auto one =
            make_bundle(*read_settings_texts({{"a.ini", database + other}}));
        const auto two =
            make_bundle(*read_settings_texts({{"a", other}, {"b", database}}));
        CPPUNIT_ASSERT_EQUAL(one.name, two.name);
        CPPUNIT_ASSERT_EQUAL(std::string("settings/").size() + 64,
                             one.name.size());
    }

    void bundle_changed_content_is_refused()
    {
        const auto bundle =
            make_bundle(*read_settings_texts({{"a.ini", database}}));
        const auto other =
            make_bundle(*read_settings_texts({{"a.ini", workspace}}));
        CPPUNIT_ASSERT(open_bundle(bundle.name, bundle.content));
        CPPUNIT_ASSERT(!open_bundle(bundle.name, bundle.content + '\0'));
        CPPUNIT_ASSERT(!open_bundle(bundle.name, other.content));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ini_reader_test);

} // namespace tanagerhoist

#include "tanagerhoist/adapter/json_codec.hpp"
#include "tanagerhoist/adapter/json_log.hpp"
#include "tanagerhoist/core/printable_text.hpp"
#include "tanagerhoist/record/explanation.hpp"
#include "tanagerhoist/record/timeline.hpp"
#include "tanagerhoist/record/timeline_svg.hpp"

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace tanagerhoist
{
namespace
{

const std::vector<std::string> odd_texts{"\xff\xfe",     "\xc3",
                                         "\xed\xa0\x80", "\xf4\x90\x80\x80",
                                         "\xc0\xaf",     std::string("a\0b", 3),
                                         "a\nb",         "a\r\nb",
                                         "a\"b\\c",      "\x7f\x1b[2J",
                                         "\xe2\x80\xa8", "\xc2\x85"};

proto::Event odd_event(const std::string& text)
{
    proto::Event event;
    event.set_vm("vm1");
    event.set_kind("arrived");
    event.set_request_id(text);
    event.set_session(text);
    event.set_workspace(text);
    event.set_database(text);
    event.set_server(text);
    event.set_detail(text);
    return event;
}

bool has_control(const std::string& text)
{
    return std::any_of(text.begin(), text.end(),
                       [](unsigned char c) { return c < ' ' || c == 0x7f; });
}

} // namespace

/// Texts from clients and operators with any bytes.
class odd_bytes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_bytes_test);
    CPPUNIT_TEST(log_line_with_any_bytes_is_json);
    CPPUNIT_TEST(request_with_lone_surrogate_is_refused_or_recordable);
    CPPUNIT_TEST(request_with_any_bytes_is_refused_or_recordable);
    CPPUNIT_TEST(timeline_with_any_text_is_one_line);
    CPPUNIT_TEST(explanation_with_any_text_has_one_line_a_sentence);
    CPPUNIT_TEST(text_of_usual_characters_stays);
    CPPUNIT_TEST(label_with_any_text_ends_at_its_quote);
    CPPUNIT_TEST(picture_with_any_text_has_no_control_characters);
    CPPUNIT_TEST_SUITE_END();

public:
    void log_line_with_any_bytes_is_json()
    {
        for (const auto& text : odd_texts)
        {
            const auto line =
                json_line(text, moment(), "session_refused",
                          {{"database", text}, {"cause", text + "end"}}, {});
            boost::system::error_code error;
            const auto value = boost::json::parse(line, error);
            CPPUNIT_ASSERT_MESSAGE(line, !error);
            CPPUNIT_ASSERT_MESSAGE(line, !has_control(line));
            const auto& cause = value.at("cause").as_string();
            CPPUNIT_ASSERT_MESSAGE(line, cause.ends_with("end"));
        }
    }

    void request_with_lone_surrogate_is_refused_or_recordable()
    {
        for (const std::string text :
             {R"(\ud800)", R"(\udc00x)", R"(\ud800\ud800)", R"(\ud800x)",
              R"(\u0000)", R"(\ud83d\ude00)"})
        {
            check_recordable(text);
        }
    }

    void request_with_any_bytes_is_refused_or_recordable()
    {
        for (const auto& text : odd_texts)
        {
            check_recordable(text);
        }
    }

    void timeline_with_any_text_is_one_line()
    {
        for (const auto& text : odd_texts)
        {
            CPPUNIT_ASSERT(!has_control(to_text(odd_event(text))));
        }
    }

    void explanation_with_any_text_has_one_line_a_sentence()
    {
        for (const auto& text : odd_texts)
        {
            for (const auto* kind : {"arrived", "dispatched", "primary_lost"})
            {
                auto event = odd_event(text);
                event.set_kind(kind);
                for (const auto& sentence : explain({event}, text))
                {
                    CPPUNIT_ASSERT(!has_control(sentence));
                }
            }
            CPPUNIT_ASSERT(!has_control(explain({}, text).front()));
        }
    }

    void picture_with_any_text_has_no_control_characters()
    {
        for (const auto& text : odd_texts)
        {
            auto event = odd_event(text);
            event.set_kind("primary_lost");
            event.set_vm(text);
            auto picture = to_svg({event});
            picture.erase(std::remove(picture.begin(), picture.end(), '\n'),
                          picture.end());
            CPPUNIT_ASSERT(!has_control(picture));
        }
    }

    void text_of_usual_characters_stays()
    {
        for (const std::string text : {"", "loans-1 a\\b", "\xc3\xa9",
                                       "\xe2\x82\xac", "\xf0\x9f\x98\x80"})
        {
            CPPUNIT_ASSERT_EQUAL(text, printable(text));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(R"(a\x0ab\xffc)"), printable("a\nb\xff"
                                                                      "c"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"(\xe2\x82)"), printable("\xe2\x82"));
    }

    void label_with_any_text_ends_at_its_quote()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(R"(a\"} 1\\x0ab)"),
                             label_value("a\"} 1\nb"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"(a\\)"), label_value("a\\"));
    }

private:
    /// A request that is accepted can be read from the record.
    static void check_recordable(const std::string& text)
    {
        proto::CallerRequest request;
        const auto json = R"({"request_id":")" + text + R"("})";
        proto::CallerRequest read;
        CPPUNIT_ASSERT_MESSAGE(
            json, !from_json(json, request) ||
                      read.ParseFromString(request.SerializeAsString()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_bytes_test);

} // namespace tanagerhoist

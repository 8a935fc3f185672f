#include "platform/line_protocol.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>
#include <string>

namespace tanagerhoist
{

class line_protocol_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(line_protocol_test);
    CPPUNIT_TEST(client_lines_are_parsed);
    CPPUNIT_TEST(invalid_lines_are_malformed);
    CPPUNIT_TEST(server_lines_are_parsed);
    CPPUNIT_TEST(ready_line_without_a_whole_position_is_malformed);
    CPPUNIT_TEST(success_without_a_whole_signature_is_malformed);
    CPPUNIT_TEST(statements_keep_their_text);
    CPPUNIT_TEST(statement_for_a_server_carries_id_and_position);
    CPPUNIT_TEST(executed_statement_without_an_argument_gets_no_blank);
    CPPUNIT_TEST(executed_statement_keeps_all_but_its_name);
    CPPUNIT_TEST(unknown_error_is_treated_as_failure);
    CPPUNIT_TEST(error_without_a_code_is_malformed);
    CPPUNIT_TEST(line_end_in_a_text_or_name_starts_no_other_line);
    CPPUNIT_TEST(status_row_is_parsed);
    CPPUNIT_TEST_SUITE_END();

public:
    void client_lines_are_parsed()
    {
        using kind = platform::client_line::kind;
        const auto start = platform::parse_client_line("STARTUP db key");
        CPPUNIT_ASSERT(start.what == kind::start);
        CPPUNIT_ASSERT_EQUAL(std::string("db"), start.first);
        CPPUNIT_ASSERT_EQUAL(std::string("key"), start.second);
        const auto query = platform::parse_client_line("QUERY 5c READ 1a4");
        CPPUNIT_ASSERT(query.what == kind::query);
        CPPUNIT_ASSERT_EQUAL(std::string("READ 1a4"), query.second);
        CPPUNIT_ASSERT(platform::parse_client_line("TERMINATE").what ==
                       kind::end);
    }

    void invalid_lines_are_malformed()
    {
        for (const auto* line : {"", " ", "GET / HTTP/1.1", "STARTUP", "QUERY",
                                 "\x01\xff\xfe", "startup db"})
        {
            CPPUNIT_ASSERT(platform::parse_client_line(line).what ==
                           platform::client_line::kind::malformed);
        }
        for (const auto* text :
             {"", "READ", "SET", "PREPARE a", "PREPARE a X b", "BEGIN WRITE",
              "COMMIT now", "\xff"})
        {
            CPPUNIT_ASSERT(platform::parse_statement(text).kind ==
                           statement_kind::malformed);
        }
    }

    void server_lines_are_parsed()
    {
        const auto ready = platform::parse_server_line("READY T 3.1209");
        CPPUNIT_ASSERT(ready.state == transaction_state::open);
        const log_position position{3, 1209};
        CPPUNIT_ASSERT(ready.position == position);
        CPPUNIT_ASSERT(!platform::parse_server_line("READY I -").position);
        const auto error = platform::parse_server_line("ERROR READONLY i-7");
        CPPUNIT_ASSERT(error.error == session_error::read_only);
        CPPUNIT_ASSERT_EQUAL(std::string("i-7"), error.text);
        CPPUNIT_ASSERT(platform::parse_server_line("READY X 3.1").what ==
                       platform::server_line::kind::malformed);
    }

    /// Lines that were cut, or two in one, ended a statement with success.
    void ready_line_without_a_whole_position_is_malformed()
    {
        for (const auto* line : {"READY",
                                 "READY I",
                                 "READY I ",
                                 "READY I  -",
                                 "READY I - ",
                                 "READY I 3",
                                 "READY I 3.",
                                 "READY I .7",
                                 "READY I .",
                                 "READY I 3.7.1",
                                 "READY I 3.7 ",
                                 "READY I 3.7READY I 3.8",
                                 "READY I -READY I 3.8",
                                 "READY I 3.7\n",
                                 "READY I +3.7",
                                 "READY I 3.+7",
                                 "READY I -3.7",
                                 "READY I 3.-7",
                                 "READY I 3.0x7",
                                 "READY I 18446744073709551616.7",
                                 "READY I 3.18446744073709551616",
                                 "READY  3.7",
                                 "READY II 3.7",
                                 "READY i 3.7"})
        {
            CPPUNIT_ASSERT_MESSAGE(line,
                                   platform::parse_server_line(line).what ==
                                       platform::server_line::kind::malformed);
        }
        const log_position largest{std::numeric_limits<std::uint64_t>::max(),
                                   std::numeric_limits<std::uint64_t>::max()};
        const auto ready = platform::parse_server_line(
            "READY E 18446744073709551615.18446744073709551615");
        CPPUNIT_ASSERT(ready.what == platform::server_line::kind::ready);
        CPPUNIT_ASSERT(ready.position == largest);
    }

    void success_without_a_whole_signature_is_malformed()
    {
        using kind = platform::server_line::kind;
        for (const std::string line :
             {"COMPLETE", "COMPLETE ", "COMPLETE  7.1f", "COMPLETE 7.1f ",
              "COMPLETE 7.1f READY I -", "COMPLETE 7.1fCOMPLETE 8.2e",
              "COMPLETE 7.1f\nREADY I -", "COMPLETE 7.1f\r", "COMPLETE 7\t1",
              "COMPLETE 7\x7f", "COMPLETED 7.1f"})
        {
            CPPUNIT_ASSERT_MESSAGE(line,
                                   platform::parse_server_line(line).what ==
                                       kind::malformed);
        }
        for (const std::string signature : {"-", "7.1f3.c.2b.90e1", "\xc3\xa9"})
        {
            const auto line =
                platform::parse_server_line("COMPLETE " + signature);
            CPPUNIT_ASSERT(line.what == kind::complete);
            CPPUNIT_ASSERT_EQUAL(signature, line.text);
        }
    }

    void statements_keep_their_text()
    {
        const auto write = platform::parse_statement("WRITE 1a4  two  blanks");
        CPPUNIT_ASSERT(write.kind == statement_kind::write);
        CPPUNIT_ASSERT(write.writes);
        server_statement sent;
        sent.query_id = "9";
        sent.what = write;
        CPPUNIT_ASSERT_EQUAL(std::string("QUERY 9 WRITE 1a4  two  blanks\r\n"),
                             platform::query_line(sent));
        const auto prepare = platform::parse_statement("PREPARE s1 WRITE q2c");
        CPPUNIT_ASSERT(prepare.writes);
        CPPUNIT_ASSERT_EQUAL(std::string("q2c"), prepare.argument);
    }

    void statement_for_a_server_carries_id_and_position()
    {
        server_statement sent;
        sent.query_id = "5c";
        sent.after = log_position{3, 1207};
        sent.what = platform::parse_statement("READ 1a4");
        CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c AFTER 3.1207 READ 1a4\r\n"),
                             platform::query_line(sent));
        server_statement own;
        own.what.kind = statement_kind::begin_read;
        CPPUNIT_ASSERT_EQUAL(std::string("QUERY - BEGIN READ\r\n"),
                             platform::query_line(own));
        CPPUNIT_ASSERT_EQUAL(std::string("STARTUP g w i-7\r\n"),
                             platform::start_line("g", "w", "i-7"));
    }

    /// Servers ran "EXECUTE p123 " where the client had sent "EXECUTE s1".
    void executed_statement_without_an_argument_gets_no_blank()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("QUERY 9 EXECUTE p123\r\n"),
                             executed("EXECUTE s1"));
    }

    void executed_statement_keeps_all_but_its_name()
    {
        for (const std::string rest :
             {" ", " 1a4", " 1a4 ", " 1a4  two  blanks ", "  ", " \r", " \n",
              " s1 EXECUTE s1"})
        {
            CPPUNIT_ASSERT_EQUAL("QUERY 9 EXECUTE p123" + rest + "\r\n",
                                 executed("EXECUTE s1" + rest));
        }
    }

    void unknown_error_is_treated_as_failure()
    {
        const auto error = platform::parse_server_line("ERROR NEWWORD text");
        CPPUNIT_ASSERT(error.error == session_error::failed);
        CPPUNIT_ASSERT(!is_not_run(error.error));
    }

    void error_without_a_code_is_malformed()
    {
        using kind = platform::server_line::kind;
        for (const std::string line :
             {"ERROR", "ERROR ", "ERROR  BUSY", "ERROR \t", "ERROR BUSY\n",
              "ERROR BUSY\nREADY I -", "ERRORS BUSY"})
        {
            CPPUNIT_ASSERT_MESSAGE(line,
                                   platform::parse_server_line(line).what ==
                                       kind::malformed);
        }
        const auto odd = platform::parse_server_line("ERROR BUSY  two\nlines");
        CPPUNIT_ASSERT(odd.error == session_error::busy);
        CPPUNIT_ASSERT_EQUAL(std::string(" two\nlines"), odd.text);
        CPPUNIT_ASSERT(platform::parse_server_line("ERROR BUSY").what ==
                       kind::error);
    }

    void line_end_in_a_text_or_name_starts_no_other_line()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("ERROR FAILED a  READY I -\r\n"),
            platform::error_line(session_error::failed, "a\r\nREADY I -"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("STARTUP g w  QUERY - DEMOTE 9 i-7\r\n"),
            platform::start_line("g", "w\r\nQUERY - DEMOTE 9", "i-7"));
        CPPUNIT_ASSERT_EQUAL(std::string("ROW \r  \n\r\r\n"),
                             platform::row_line("\r\r\n\n\r"));
        server_statement sent;
        sent.query_id = "5c";
        sent.what = platform::parse_statement("WRITE 1a4 a\r\nTERMINATE");
        CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c WRITE 1a4 a  TERMINATE\r\n"),
                             platform::query_line(sent));
    }

    void status_row_is_parsed()
    {
        const auto status =
            platform::parse_status("replica 3 3.1209 0 12 2 17");
        CPPUNIT_ASSERT(status);
        CPPUNIT_ASSERT(!status->primary);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, status->term);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1209}, status->received.number);
        CPPUNIT_ASSERT(!platform::parse_status("leader 3 3.1 0 0 0 0"));
    }

private:
    /// Line for a server, for a client's statement with another name.
    static std::string executed(const std::string& text)
    {
        server_statement sent;
        sent.query_id = "9";
        sent.what = platform::parse_statement(text);
        sent.what.name = "p123";
        return platform::query_line(sent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_protocol_test);

} // namespace tanagerhoist

#include "platform/line_protocol.hpp"
#include "platform/operator_config.hpp"
#include "platform/store_client.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>
#include <map>
#include <random>
#include <string>

namespace tanagerhoist
{

class platform_formats_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_formats_test);
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
    CPPUNIT_TEST(configuration_is_decoded);
    CPPUNIT_TEST(invalid_configuration_is_reported);
    CPPUNIT_TEST(evacuation_keys_are_decoded);
    CPPUNIT_TEST(malformed_server_entries_are_rejected);
    CPPUNIT_TEST(odd_server_entries_are_rejected);
    CPPUNIT_TEST(random_server_entries_are_rejected_or_usable);
    CPPUNIT_TEST(odd_values_in_a_configuration_are_reported);
    CPPUNIT_TEST(odd_numbers_in_a_store_answer_are_ignored);
    CPPUNIT_TEST(store_answers_are_decoded);
    CPPUNIT_TEST(transaction_lists_versions_of_all_rows);
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

    void configuration_is_decoded()
    {
        std::string fault;
        const auto settings = platform::decode_config(
            R"({"version":7,"routes":[{"name":"r","database":"d",)"
            R"("type":"read_your_writes","timeoutMs":1000,)"
            R"("targetLatencyMs":400,"priority":2,"backend":"g",)"
            R"("maxStalenessMs":2500,"public":false}],)"
            R"("services":[{"name":"g","maxConns":33,"syncReplicas":1},)"
            R"({"name":"h","maxConns":9,"coldStartS":2.5,"coldPerS":20}],)"
            R"("limits":{"txIdleMs":3000},"tenants":[{"name":"w",)"
            R"("apiKeys":["k1","k2"],"ratePerS":131,"burst":100}]})",
            fault);
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, settings->version);
        const auto* route = settings->route("d");
        CPPUNIT_ASSERT(route != nullptr);
        CPPUNIT_ASSERT(route->consistency ==
                       read_consistency::read_your_writes);
        CPPUNIT_ASSERT(route->max_staleness == milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(33U, settings->groups.at("g").connections);
        CPPUNIT_ASSERT_EQUAL(0.0, settings->groups.at("g").warmup_rate);
        CPPUNIT_ASSERT_EQUAL(20.0, settings->groups.at("h").warmup_rate);
        CPPUNIT_ASSERT(settings->groups.at("h").warmup == milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(std::string("w"), *settings->workspace_of("k2"));
        CPPUNIT_ASSERT(settings->workspace_of("k3") == nullptr);
    }

    void invalid_configuration_is_reported()
    {
        std::string fault;
        CPPUNIT_ASSERT(!platform::decode_config("{\"version\":1}", fault));
        CPPUNIT_ASSERT_EQUAL(std::string("routes: is missing, or has another "
                                         "type or range"),
                             fault);
        CPPUNIT_ASSERT(!platform::decode_config("\xff\x00 not", fault));
    }

    void evacuation_keys_are_decoded()
    {
        using platform::decode_evacuation_key;
        CPPUNIT_ASSERT(decode_evacuation_key("evacuate/west-a") ==
                       std::string("west-a"));
        for (const auto* key : {"evacuate/", "evacuate", "config", ""})
        {
            CPPUNIT_ASSERT(!decode_evacuation_key(key));
        }
    }

    void malformed_server_entries_are_rejected()
    {
        std::string fault;
        const std::string good =
            R"({"backend":"g","address":"10.1.0.9:8080","zone":"a",)"
            R"("slots":5,"state":"ready","dbRole":"primary","seq":4,)"
            R"("born":17})";
        const auto server = platform::decode_server("i-1", good, fault);
        CPPUNIT_ASSERT(server);
        CPPUNIT_ASSERT(server->claims_primary);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8080}, server->port);
        CPPUNIT_ASSERT(!server->warmup_left);
        for (
            const auto* bad :
            {"", "[]", "\x80\x81", "{\"backend\":1}",
             R"({"backend":"g","address":"10.1.0.9","zone":"a","slots":5,"state":"ready"})",
             R"({"backend":"g","address":"10.1.0.9:1","zone":"a","slots":"5","state":"ready"})",
             R"({"backend":"g","address":"10.1.0.9:1","zone":"a","slots":5,"state":"asleep"})"})
        {
            CPPUNIT_ASSERT(!platform::decode_server("i-1", bad, fault));
        }
    }

    /// Machines that read the list of servers ended, or stopped following it.
    void odd_server_entries_are_rejected()
    {
        const std::string megabyte(1'000'000, 'x');
        const std::string nested =
            std::string(100'000, '[') + std::string(100'000, ']');
        for (const auto& entry : {server_entry("slots", "1e300"),
                                  server_entry("slots", "4e9"),
                                  server_entry("slots", "-1"),
                                  server_entry("slots", "0"),
                                  server_entry("slots", "1e999"),
                                  server_entry("born", "-1"),
                                  server_entry("coldRemainingMs", "-1"),
                                  server_entry("coldRemainingMs", "\"1\""),
                                  server_entry("born", "1e300"),
                                  server_entry("born", "\"1\""),
                                  server_entry("born", "18446744073709551616"),
                                  server_entry("slots", nested),
                                  server_entry("other", nested),
                                  server_entry("address", "\"10.1.0.9:65536\""),
                                  server_entry("address", "\"10.1.0.9:0\""),
                                  server_entry("address", "\"10.1.0.9:-1\""),
                                  server_entry("address", "\"10.1.0.9:80x\""),
                                  server_entry("address", "\"host.name:80\""),
                                  server_entry("address", "\":80\""),
                                  server_entry("zone", '"' + megabyte + '"'),
                                  server_entry("backend", '"' + megabyte + '"'),
                                  nested,
                                  std::string("{\"a\":") + nested + '}'})
        {
            std::string reason;
            CPPUNIT_ASSERT_MESSAGE(
                entry.substr(0, 200),
                !platform::decode_server("i-1", entry, reason));
            CPPUNIT_ASSERT(!reason.empty());
        }
        std::string reason;
        CPPUNIT_ASSERT(platform::decode_server(
            "i-1", server_entry("born", "1700000000000"), reason));
        const auto warming = platform::decode_server(
            "i-1", server_entry("coldRemainingMs", "1500"), reason);
        CPPUNIT_ASSERT(warming);
        CPPUNIT_ASSERT(warming->warmup_left == milliseconds(1500));
    }

    void random_server_entries_are_rejected_or_usable()
    {
        std::minstd_rand random(5);
        const std::string good = server_entry("born", "17");
        for (int i = 0; i < 20'000; ++i)
        {
            auto entry = good;
            for (auto changes = 1 + random() % 4; changes > 0; --changes)
            {
                entry[random() % entry.size()] =
                    static_cast<char>(random() % 256);
            }
            std::string reason;
            const auto server = platform::decode_server("i-1", entry, reason);
            CPPUNIT_ASSERT(server ? server->slots >= 1 && server->port != 0
                                  : !reason.empty());
        }
    }

    void odd_values_in_a_configuration_are_reported()
    {
        for (const auto* odd :
             {R"("version":1e300)", R"("version":-1)", R"("version":"7")",
              R"("version":7,"limits":{"txIdleMs":-5})",
              R"("version":7,"limits":{"txIdleMs":1e300})",
              R"("version":7,"limits":[])"})
        {
            CPPUNIT_ASSERT(!decodes(odd, "", ""));
        }
        for (const auto* odd : {R"("ratePerS":-1,"burst":1,"apiKeys":[])",
                                R"("ratePerS":1,"burst":null,"apiKeys":[])",
                                R"("ratePerS":1,"burst":1,"apiKeys":[7])",
                                R"("ratePerS":1,"burst":1,"apiKeys":"k")"})
        {
            CPPUNIT_ASSERT(!decodes(R"("version":7)", odd, ""));
        }
        const std::string tenant = R"("ratePerS":1e300,"burst":1,"apiKeys":[])";
        CPPUNIT_ASSERT(decodes(R"("version":7)", tenant, R"("maxConns":33)"));
        for (const auto* odd : {R"("maxConns":1e300)", R"("maxConns":-1)",
                                R"("maxConns":33,"syncReplicas":1e300)"})
        {
            CPPUNIT_ASSERT(!decodes(R"("version":7)", tenant, odd));
        }
    }

    void odd_numbers_in_a_store_answer_are_ignored()
    {
        for (const auto* number : {"-1", "1e300", "0.5", "\"7\"", "null"})
        {
            const auto answer = platform::decode_store_answer(
                200, std::string(R"({"ver":)") + number + R"(,"nowMs":)" +
                         number + R"(,"rows":[{"key":"k","ver":)" + number +
                         "}]}");
            CPPUNIT_ASSERT(answer.result == store_result::done);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, answer.version);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, answer.rows.at(0).version);
        }
    }

    void store_answers_are_decoded()
    {
        const auto answer = platform::decode_store_answer(
            200, R"({"rows":[{"table":"my","part":"","key":"owner",)"
                 R"("value":"bm9kZS0x","ver":412},{"table":"my",)"
                 R"("key":"old","ver":413,"removed":true}],)"
                 R"("ver":530,"nowMs":51230})");
        CPPUNIT_ASSERT(answer.result == store_result::done);
        CPPUNIT_ASSERT_EQUAL(std::string("node-1"), answer.rows[0].value);
        CPPUNIT_ASSERT(answer.rows[1].removed);
        CPPUNIT_ASSERT(answer.now == milliseconds(51230));
        CPPUNIT_ASSERT(platform::decode_store_answer(412, "{}").result ==
                       store_result::conflict);
        CPPUNIT_ASSERT(platform::decode_store_answer(410, "").result ==
                       store_result::compacted);
        CPPUNIT_ASSERT(platform::decode_store_answer(503, "").result ==
                       store_result::refused);
        CPPUNIT_ASSERT(platform::decode_store_answer(200, "{").result ==
                       store_result::malformed);
    }

    void transaction_lists_versions_of_all_rows()
    {
        store_transaction change;
        change.expected.push_back({"my", "owner", "", 0, false});
        change.puts.push_back({"my", "owner", "node-1", 0, false});
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                R"({"expectedRev":[{"table":"my","part":"","key":"owner",)"
                R"("ver":0}],"puts":[{"table":"my","part":"","key":"owner",)"
                R"("value":"bm9kZS0x"}],"remove":[]})"),
            platform::encode_transaction(change));
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

    /// A server's entry with one field replaced or added.
    static std::string server_entry(const std::string& name,
                                    const std::string& value)
    {
        std::map<std::string, std::string> fields{
            {"backend", "\"g\""},
            {"address", "\"10.1.0.9:8080\""},
            {"zone", "\"a\""},
            {"slots", "5"},
            {"state", "\"ready\""}};
        fields[name] = value;
        std::string entry;
        for (const auto& [field, text] : fields)
        {
            entry += entry.empty() ? "{\"" : ",\"";
            entry += field;
            entry += "\":";
            entry += text;
        }
        return entry + '}';
    }

    /// Whether a configuration with these fields can be decoded.
    static bool decodes(const std::string& fields, const std::string& tenant,
                        const std::string& service)
    {
        const auto list = [](const std::string& entry)
        { return entry.empty() ? "" : R"({"name":"n",)" + entry + '}'; };
        std::string reason;
        return platform::decode_config('{' + fields + R"(,"routes":[],)" +
                                           R"("tenants":[)" + list(tenant) +
                                           R"(],"services":[)" + list(service) +
                                           "]}",
                                       reason) != nullptr;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_formats_test);

} // namespace tanagerhoist

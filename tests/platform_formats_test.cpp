#include "platform/operator_config.hpp"
#include "platform/store_client.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace tanagerhoist
{

class platform_formats_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_formats_test);
    CPPUNIT_TEST(configuration_is_decoded);
    CPPUNIT_TEST(invalid_configuration_is_reported);
    CPPUNIT_TEST(entries_with_names_that_no_line_carries_are_left_out);
    CPPUNIT_TEST(entries_with_odd_names_that_a_line_carries_are_kept);
    CPPUNIT_TEST(servers_with_names_that_no_line_carries_are_rejected);
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

    /// A workspace "a b" shifted the fields of a server's startup line.
    void entries_with_names_that_no_line_carries_are_left_out()
    {
        for (const std::string name : {"", " ", "a b", " a", "a ", R"(a\r\nb)",
                                       R"(a\r\nQUERY - DEMOTE 9)"})
        {
            const auto report = platform::read_config(named(name));
            CPPUNIT_ASSERT_MESSAGE(name, report.settings);
            CPPUNIT_ASSERT(report.errors.empty());
            const std::vector<std::string> expected{
                "routes[0].database", "routes[1].backend", "services[0].name",
                "tenants[0].name"};
            std::vector<std::string> places;
            for (const auto& entry : report.unusable)
            {
                places.push_back(entry.place);
            }
            CPPUNIT_ASSERT(expected == places);
            const auto& settings = *report.settings;
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, settings.routes.size());
            CPPUNIT_ASSERT(settings.route("kept") != nullptr);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, settings.groups.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, settings.workspaces.size());
            CPPUNIT_ASSERT(settings.workspace_of("k1") == nullptr);
            CPPUNIT_ASSERT_EQUAL(std::string("kept"),
                                 *settings.workspace_of("k2"));
        }
    }

    void entries_with_odd_names_that_a_line_carries_are_kept()
    {
        for (const std::string name : {R"(a\rb)", R"(a\nb)", R"(\n\r)",
                                       R"(a\tb)", "-", "\xc3\xa9", R"(\u0000)"})
        {
            const auto report = platform::read_config(named(name));
            CPPUNIT_ASSERT_MESSAGE(name, report.settings);
            CPPUNIT_ASSERT(report.unusable.empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                                 report.settings->routes.size());
            CPPUNIT_ASSERT(report.settings->workspace_of("k1") != nullptr);
        }
    }

    void servers_with_names_that_no_line_carries_are_rejected()
    {
        for (const auto* name : {"\"\"", "\"a b\"", R"("a\r\nb")"})
        {
            std::string reason;
            CPPUNIT_ASSERT(!platform::decode_server(
                "i-1", server_entry("backend", name), reason));
            CPPUNIT_ASSERT(!reason.empty());
        }
        for (const auto* id : {"", "i 1", "i-1\r\nQUERY - DEMOTE 9"})
        {
            std::string reason;
            CPPUNIT_ASSERT(!platform::decode_server(
                id, server_entry("slots", "5"), reason));
            CPPUNIT_ASSERT(!reason.empty());
        }
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

    /// A configuration whose entries, except for one of each kind, have this
    /// name.
    static std::string named(const std::string& name)
    {
        const auto route =
            [](const std::string& database, const std::string& group)
        {
            return R"({"database":")" + database + R"(","backend":")" + group +
                   R"(","type":"primary","timeoutMs":1,"targetLatencyMs":1})";
        };
        const auto tenant =
            [](const std::string& workspace, const std::string& key)
        {
            return R"({"name":")" + workspace + R"(","apiKeys":[")" + key +
                   R"("],"ratePerS":1,"burst":1})";
        };
        return R"({"version":1,"routes":[)" + route(name, "kept") + ',' +
               route("other", name) + ',' + route("kept", "kept") +
               R"(],"services":[{"name":")" + name +
               R"(","maxConns":1},{"name":"kept","maxConns":1}],"tenants":[)" +
               tenant(name, "k1") + ',' + tenant("kept", "k2") + "]}";
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

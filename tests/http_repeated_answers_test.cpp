#include "platform/store_client.hpp"
#include "scripted_server.hpp"
#include "tanagerhoist/adapter/http_platform_client.hpp"
#include "tanagerhoist/adapter/http_stream.hpp"
#include "tanagerhoist/decision/settings_rows.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <future>
#include <string>
#include <vector>

namespace tanagerhoist
{
namespace
{

/// Fails a test that gets no answer instead of blocking; no test measures it.
constexpr milliseconds answer_timeout{10000};

/// Ends the wait for an answer that does not come.
constexpr milliseconds short_timeout{50};

std::string http(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// A connection's answers to requests without a body, in their order.
using conversation = std::vector<std::string>;

/// Answers requests; closes when there is no answer left.
void hold(scripted_connection& connection, const conversation& answers)
{
    for (const auto& answer : answers)
    {
        if (!connection.read_until("\r\n\r\n"))
        {
            return;
        }
        connection.write(answer);
    }
}

/// Script of a server with these connections, in their order.
scripted_server::script in_order(std::vector<conversation> connections)
{
    return [connections = std::move(connections),
            next = std::size_t{0}](scripted_connection& connection) mutable
    {
        if (next < connections.size())
        {
            hold(connection, connections[next++]);
        }
    };
}

/// Makes a call as clients with a persistent connection do.
/// @return the answer's body; empty if there is none
std::string call(http_client_stream& stream, std::uint16_t port,
                 milliseconds timeout = answer_timeout)
{
    if (!stream.is_open() && !stream.connect("127.0.0.1", port, answer_timeout))
    {
        return {};
    }
    bool sent = false;
    const auto answer = stream.exchange({"GET", "/", "", ""}, timeout, sent);
    return answer ? answer->body : std::string();
}

/// Bodies of the answers to two calls.
std::vector<std::string> two_calls(std::uint16_t port,
                                   milliseconds first_timeout = answer_timeout)
{
    std::vector<std::string> bodies;
    run_as_fiber(
        [&](boost::asio::io_context& context)
        {
            http_client_stream stream(context);
            bodies.push_back(call(stream, port, first_timeout));
            bodies.push_back(call(stream, port));
        });
    return bodies;
}

} // namespace

/// What comes on persistent connections beside the answers to calls.
class http_repeated_answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_repeated_answers_test);
    CPPUNIT_TEST(answer_that_comes_twice_is_not_taken_for_next_call);
    CPPUNIT_TEST(answer_on_idle_connection_is_not_taken_for_next_call);
    CPPUNIT_TEST(answer_before_request_is_not_taken);
    CPPUNIT_TEST(part_of_answer_on_lost_connection_is_not_taken_for_next_call);
    CPPUNIT_TEST(late_answer_is_not_taken_for_next_call);
    CPPUNIT_TEST(interim_answer_is_not_taken_for_answer);
    CPPUNIT_TEST(connection_closed_while_idle_fails_no_call);
    CPPUNIT_TEST(store_answer_that_comes_twice_is_not_taken_for_next_call);
    CPPUNIT_TEST(platform_answer_that_comes_twice_is_not_taken_for_next_call);
    CPPUNIT_TEST_SUITE_END();

public:
    void answer_that_comes_twice_is_not_taken_for_next_call()
    {
        scripted_server server(in_order(
            {{http("first") + http("first"), http("next")}, {http("next")}}));
        expect({"first", "next"}, two_calls(server.port()));
    }

    void answer_on_idle_connection_is_not_taken_for_next_call()
    {
        std::promise<void> idle;
        std::promise<void> repeated;
        scripted_server server(
            [&, next = 0](scripted_connection& connection) mutable
            {
                if (next++ != 0)
                {
                    hold(connection, {http("next")});
                    return;
                }
                hold(connection, {http("first")});
                idle.get_future().wait();
                connection.write(http("first"));
                repeated.set_value();
                hold(connection, {http("next")});
            });
        std::vector<std::string> bodies;
        run_as_fiber(
            [&](boost::asio::io_context& context)
            {
                http_client_stream stream(context);
                bodies.push_back(call(stream, server.port()));
                idle.set_value();
                repeated.get_future().wait();
                bodies.push_back(call(stream, server.port()));
            });
        expect({"first", "next"}, bodies);
    }

    void answer_before_request_is_not_taken()
    {
        std::promise<void> answered;
        scripted_server server(
            [&](scripted_connection& connection)
            {
                connection.write(http("early"));
                answered.set_value();
                hold(connection, {http("own")});
            });
        bool sent = true;
        bool taken = true;
        run_as_fiber(
            [&](boost::asio::io_context& context)
            {
                http_client_stream stream(context);
                stream.connect("127.0.0.1", server.port(), answer_timeout);
                answered.get_future().wait();
                taken =
                    stream.exchange({"GET", "/", "", ""}, answer_timeout, sent)
                        .has_value();
            });
        CPPUNIT_ASSERT(!taken);
        CPPUNIT_ASSERT(!sent);
    }

    /// The rest of a header was put before the next connection's first answer.
    void part_of_answer_on_lost_connection_is_not_taken_for_next_call()
    {
        scripted_server server(
            in_order({{"HTTP/1.1 200 OK\r\nContent-"}, {http("next")}}));
        expect({"", "next"}, two_calls(server.port()));
    }

    void late_answer_is_not_taken_for_next_call()
    {
        scripted_server server(in_order({{"", http("first")}, {http("next")}}));
        expect({"", "next"}, two_calls(server.port(), short_timeout));
    }

    void interim_answer_is_not_taken_for_answer()
    {
        const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
        scripted_server server(
            in_order({{interim + http("first"), http("next")}}));
        expect({"first", "next"}, two_calls(server.port()));
    }

    void connection_closed_while_idle_fails_no_call()
    {
        std::promise<void> accepted;
        scripted_server server(
            [&, next = 0](scripted_connection& connection) mutable
            {
                if (next++ == 1)
                {
                    accepted.set_value(); // the first one is closed by now
                }
                hold(connection, {http("own")});
            });
        std::vector<std::string> bodies;
        run_as_fiber(
            [&](boost::asio::io_context& context)
            {
                http_client_stream stream(context);
                http_client_stream other(context);
                bodies.push_back(call(stream, server.port()));
                other.connect("127.0.0.1", server.port(), answer_timeout);
                accepted.get_future().wait();
                other.close();
                bodies.push_back(call(stream, server.port()));
            });
        expect({"own", "own"}, bodies);
    }

    /// A write was answered with the version of the one before it.
    void store_answer_that_comes_twice_is_not_taken_for_next_call()
    {
        scripted_server server(
            in_order({{http(R"({"ver":7})") + http(R"({"ver":7})"),
                       http(R"({"ver":8})")},
                      {http(R"({"ver":8})")}}));
        std::vector<std::uint64_t> versions;
        run_as_fiber(
            [&](boost::asio::io_context& context)
            {
                platform::store_client store(context, "127.0.0.1",
                                             server.port(), answer_timeout,
                                             [] { return moment{}; });
                versions.push_back(store.read("fleet", "").version);
                versions.push_back(store.read("fleet", "").version);
            });
        CPPUNIT_ASSERT((versions == std::vector<std::uint64_t>{7, 8}));
    }

    void platform_answer_that_comes_twice_is_not_taken_for_next_call()
    {
        const auto older = http(R"({"version":"7"})");
        const auto newer = http(R"({"version":"8"})");
        scripted_server server(in_order({{older + older, newer}, {newer}}));
        http_platform_client client("127.0.0.1", server.port(), answer_timeout);
        const auto first = client.call(read_row(settings_head_row));
        const auto second = client.call(read_row(settings_head_row));
        CPPUNIT_ASSERT(first.reply && second.reply);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), first.reply->version());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), second.reply->version());
    }

private:
    static void expect(const std::vector<std::string>& bodies,
                       const std::vector<std::string>& found)
    {
        for (std::size_t i = 0; i < bodies.size(); ++i)
        {
            CPPUNIT_ASSERT_EQUAL(bodies.at(i), found.at(i));
        }
        CPPUNIT_ASSERT_EQUAL(bodies.size(), found.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_repeated_answers_test);

} // namespace tanagerhoist

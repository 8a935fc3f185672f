#include "tanagerhoist/adapter/http_platform_client.hpp"

#include "tanagerhoist/decision/settings_rows.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr milliseconds long_timeout{10000};
constexpr milliseconds short_timeout{20};

/// Server on a loopback port chosen by the system.
struct listener
{
    asio::io_context context;
    tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};

    std::uint16_t port() const { return acceptor.local_endpoint().port(); }

    /// Accepts one connection and answers one request on it with `text`.
    void answer_once(const std::string& text)
    {
        tcp::socket socket = acceptor.accept();
        asio::streambuf received;
        asio::read_until(socket, received, "}}");
        asio::write(socket, asio::buffer(text));
    }
};

std::string http(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// Result of a call that the server answers with `text`.
platform_answer answer_to(const std::string& text)
{
    listener server;
    std::thread thread([&] { server.answer_once(text); });
    http_platform_client client("127.0.0.1", server.port(), long_timeout);
    auto answer = client.call(read_row(settings_head_row));
    thread.join();
    return answer;
}

} // namespace

class http_platform_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_platform_client_test);
    CPPUNIT_TEST(call_good_answer_is_read);
    CPPUNIT_TEST(call_bad_answers_have_unknown_outcome);
    CPPUNIT_TEST(call_refused_connection_was_not_sent);
    CPPUNIT_TEST(call_never_answered_ends_and_may_have_been_sent);
    CPPUNIT_TEST_SUITE_END();

public:
    void call_good_answer_is_read()
    {
        const auto answer = answer_to(http("200 OK", R"({"version":"7"})"));
        CPPUNIT_ASSERT(answer.reply.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), answer.reply->version());
    }

    void call_bad_answers_have_unknown_outcome()
    {
        for (const auto& text :
             {http("500 Error", "{}"), http("200 OK", "not json"),
              std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"),
              std::string("noise\r\n\r\n")})
        {
            const auto answer = answer_to(text);
            CPPUNIT_ASSERT_MESSAGE(text, !answer.reply && answer.sent);
        }
    }

    void call_refused_connection_was_not_sent()
    {
        std::uint16_t port = 0;
        {
            const listener closed;
            port = closed.port();
        }
        http_platform_client client("127.0.0.1", port, long_timeout);
        const auto answer = client.call(read_row("a"));
        CPPUNIT_ASSERT(!answer.reply && !answer.sent);
    }

    void call_never_answered_ends_and_may_have_been_sent()
    {
        const listener unresponsive;
        http_platform_client client("127.0.0.1", unresponsive.port(),
                                    short_timeout);
        const auto answer = client.call(read_row("a"));
        CPPUNIT_ASSERT(!answer.reply && answer.sent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_platform_client_test);

} // namespace tanagerhoist

#include "tanagerhoist/adapter/fiber_loop.hpp"
#include "tanagerhoist/adapter/http_platform_client.hpp"
#include "tanagerhoist/adapter/http_stream.hpp"
#include "tanagerhoist/adapter/outbound_connections.hpp"
#include "tanagerhoist/decision/settings_rows.hpp"
#include "tests/scripted_http_server.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>
#include <thread>

namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;

constexpr milliseconds long_timeout{10000};
constexpr milliseconds short_timeout{50};
constexpr const char* header_end = "\r\n\r\n";
constexpr const char* none = "none";

/// Runs `task` in a fiber with an event loop of its own.
void run_in_fiber(const std::function<void(asio::io_context&)>& task)
{
    std::thread thread(
        [&task]
        {
            asio::io_context context;
            const auto work = asio::make_work_guard(context);
            boost::fibers::fiber(boost::fibers::launch::post,
                                 [&]
                                 {
                                     task(context);
                                     context.stop();
                                 })
                .detach();
            run_fiber_loop(context);
        });
    thread.join();
}

/// Body of the answer to a call on a stream, which is opened if necessary.
std::string call(http_client_stream& stream, std::uint16_t port,
                 milliseconds timeout = long_timeout)
{
    if (!stream.is_open() && !stream.connect("127.0.0.1", port, long_timeout))
    {
        return "not connected";
    }
    bool sent = false;
    const auto answer = stream.exchange({"GET", "/", "", ""}, timeout, sent);
    return answer ? answer->body : none;
}

/// Body of the answer to one call that the server answers with `bytes`.
std::string result_of(const std::string& bytes)
{
    scripted_http_server server(header_end, {bytes});
    std::string body;
    run_in_fiber(
        [&](asio::io_context& context)
        {
            http_client_stream stream(context);
            body = call(stream, server.port(), short_timeout);
        });
    return body;
}

/// Body of the answer to a second call on one stream.
/// @param between run between the calls
std::string second_result(
    scripted_http_server& server, milliseconds first,
    const std::function<void()>& between = [] {})
{
    std::string body;
    run_in_fiber(
        [&](asio::io_context& context)
        {
            http_client_stream stream(context);
            call(stream, server.port(), first);
            between();
            body = call(stream, server.port());
        });
    return body;
}

std::string version_text(int version)
{
    return http_text(R"({"version":")" + std::to_string(version) + R"("})");
}

} // namespace

class http_unasked_answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_unasked_answers_test);
    CPPUNIT_TEST(call_after_answer_sent_twice_gets_its_own);
    CPPUNIT_TEST(call_after_late_second_answer_gets_its_own);
    CPPUNIT_TEST(call_with_earlier_answer_before_its_own_has_none);
    CPPUNIT_TEST(call_on_new_connection_ignores_rest_of_old_one);
    CPPUNIT_TEST(call_with_interim_answer_gets_the_final_one);
    CPPUNIT_TEST(answer_of_unclear_length_is_not_taken);
    CPPUNIT_TEST(pooled_call_after_late_second_answer_gets_its_own);
    CPPUNIT_TEST(platform_call_after_answer_sent_twice_gets_its_own);
    CPPUNIT_TEST(platform_call_after_late_second_answer_gets_its_own);
    CPPUNIT_TEST(platform_call_with_interim_answer_gets_the_final_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void call_after_answer_sent_twice_gets_its_own()
    {
        scripted_http_server server(
            header_end, {http_text("a") + http_text("a"), http_text("b")});
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             second_result(server, long_timeout));
    }

    void call_after_late_second_answer_gets_its_own()
    {
        scripted_http_server server(header_end,
                                    {http_text("a"), http_text("b")});
        const auto late = [&server] { server.send(http_text("a")); };
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             second_result(server, long_timeout, late));
    }

    void call_with_earlier_answer_before_its_own_has_none()
    {
        scripted_http_server server(
            header_end, {http_text("a"), http_text("a") + http_text("b")});
        CPPUNIT_ASSERT_EQUAL(std::string(none),
                             second_result(server, long_timeout));
    }

    void call_on_new_connection_ignores_rest_of_old_one()
    {
        scripted_http_server server(
            header_end,
            {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX: ", http_text("b")});
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             second_result(server, short_timeout));
    }

    void call_with_interim_answer_gets_the_final_one()
    {
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n"
                                    "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(std::string("a"),
                             result_of(interim + http_text("a")));
    }

    void answer_of_unclear_length_is_not_taken()
    {
        const std::string status = "HTTP/1.1 200 OK\r\n";
        for (const std::string header :
             {"Content-Length: 1\r\nContent-Length: 2\r\n",
              "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
              "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
              "Content-Length: 1\n", "Content-Length: +1\r\n",
              "Content-Length : 1\r\n", "Content-Length: 1, 2\r\n",
              "X: a\rContent-Length: 1\r\n"})
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                header, std::string(none),
                result_of(status + header + "\r\n1\r\na\r\n0\r\n\r\n"));
        }
    }

    void pooled_call_after_late_second_answer_gets_its_own()
    {
        scripted_http_server server("}}", {version_text(1), version_text(2)});
        std::vector<std::uint64_t> versions;
        run_in_fiber(
            [&](asio::io_context& context)
            {
                boost::fibers::promise<void>* answered = nullptr;
                outbound_connections connections(
                    context,
                    [&](const proto::Input& input)
                    {
                        versions.push_back(
                            input.platform_answered().reply().version());
                        answered->set_value();
                    });
                for (int i = 0; i < 2; ++i)
                {
                    boost::fibers::promise<void> promise;
                    answered = &promise;
                    proto::CallPlatform call;
                    call.mutable_call()->mutable_list();
                    call.set_timeout_ms(long_timeout.count());
                    connections.call_platform(call,
                                              {"127.0.0.1", server.port()});
                    promise.get_future().get();
                    server.send(version_text(1));
                }
            });
        CPPUNIT_ASSERT((versions == std::vector<std::uint64_t>{1, 2}));
    }

    void platform_call_after_answer_sent_twice_gets_its_own()
    {
        scripted_http_server server(
            "}}", {version_text(1) + version_text(1), version_text(2)});
        http_platform_client client("127.0.0.1", server.port(), long_timeout);
        client.call(read_row("a"));
        const auto answer = client.call(read_row("b"));
        CPPUNIT_ASSERT(answer.reply.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), answer.reply->version());
    }

    void platform_call_after_late_second_answer_gets_its_own()
    {
        scripted_http_server server("}}", {version_text(1), version_text(2)});
        http_platform_client client("127.0.0.1", server.port(), long_timeout);
        client.call(read_row("a"));
        server.send(version_text(1));
        const auto answer = client.call(read_row("b"));
        CPPUNIT_ASSERT(answer.reply.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), answer.reply->version());
    }

    void platform_call_with_interim_answer_gets_the_final_one()
    {
        scripted_http_server server(
            "}}", {"HTTP/1.1 100 Continue\r\n\r\n" + version_text(1)});
        http_platform_client client("127.0.0.1", server.port(), long_timeout);
        const auto answer = client.call(read_row("a"));
        CPPUNIT_ASSERT(answer.reply.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), answer.reply->version());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_unasked_answers_test);

} // namespace tanagerhoist

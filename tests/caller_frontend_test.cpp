#include "tanagerhoist/adapter/caller_frontend.hpp"

#include "tanagerhoist/adapter/fiber_loop.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>
#include <vector>

namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// A front end on a loopback port that answers each request with its id.
class echoing_frontend
{
public:
    echoing_frontend()
        : frontend_(0, settings_, metrics_,
                    [this](const proto::Input& input) { answer(input); }),
          thread_([this] { run_fiber_loop(context_); })
    {
        acceptor_.async_accept(
            [this](boost::system::error_code error, tcp::socket socket)
            {
                if (!error)
                {
                    frontend_.accept(std::move(socket));
                }
            });
    }

    ~echoing_frontend()
    {
        asio::post(context_, [this] { context_.stop(); });
        thread_.join();
    }

    echoing_frontend(const echoing_frontend&) = delete;
    echoing_frontend& operator=(const echoing_frontend&) = delete;

    /// Sends bytes and returns all that comes until the front end closes the
    /// connection.
    std::string talk(const std::string& bytes)
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(acceptor_.local_endpoint());
        asio::write(socket, asio::buffer(bytes));
        std::string received;
        boost::system::error_code closed;
        asio::read(socket, asio::dynamic_buffer(received), closed);
        return received;
    }

    /// Ids of the requests that were read.
    std::vector<std::string> ids() const { return ids_; }

private:
    void answer(const proto::Input& input)
    {
        if (!input.has_caller_arrived())
        {
            return;
        }
        const auto& arrived = input.caller_arrived();
        ids_.push_back(arrived.request().request_id());
        proto::CallerReply reply;
        reply.set_code(arrived.refused());
        reply.set_request_id(arrived.request().request_id());
        // Posted: the front end waits for the answer after it has asked.
        asio::post(context_, [this, call = arrived.call(), reply]
                   { frontend_.answer(call, reply); });
    }

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_{
        context_.get_executor()};
    tcp::acceptor acceptor_{context_, {asio::ip::address_v4::loopback(), 0}};
    settings_snapshot settings_;
    metrics metrics_;
    std::vector<std::string> ids_;
    caller_frontend frontend_;
    std::thread thread_;
};

std::string post(const std::string& id, const std::string& headers = "")
{
    const std::string body = R"({"request_id":")" + id + R"("})";
    return "POST /v1/request HTTP/1.1\r\nHost: x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string close_header = "Connection: close\r\n";

using names = std::vector<std::string>;

} // namespace

class caller_frontend_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_frontend_test);
    CPPUNIT_TEST(requests_sent_ahead_are_answered_in_order);
    CPPUNIT_TEST(request_inside_a_body_is_not_run);
    CPPUNIT_TEST(request_of_unclear_length_ends_the_connection);
    CPPUNIT_TEST(answer_to_head_request_has_no_body);
    CPPUNIT_TEST(request_behind_a_last_one_is_not_run);
    CPPUNIT_TEST_SUITE_END();

public:
    void requests_sent_ahead_are_answered_in_order()
    {
        echoing_frontend frontend;
        const auto answers =
            frontend.talk(post("a") + post("b") + post("c", close_header));
        CPPUNIT_ASSERT((frontend.ids() == names{"a", "b", "c"}));
        const auto a = answers.find(R"("request_id":"a")");
        const auto b = answers.find(R"("request_id":"b")");
        const auto c = answers.find(R"("request_id":"c")");
        CPPUNIT_ASSERT(a < b && b < c && c != std::string::npos);
    }

    void request_inside_a_body_is_not_run()
    {
        echoing_frontend frontend;
        const auto inner = post("inner");
        const auto answers = frontend.talk(
            "POST /v1/request HTTP/1.1\r\nHost: x\r\nContent-Length: " +
            std::to_string(inner.size()) + "\r\n\r\n" + inner +
            post("outer", close_header));
        CPPUNIT_ASSERT((frontend.ids() == names{"", "outer"}));
    }

    /// A reader that takes another length than the sender, or than a balancer
    /// before it, would run part of a body as a request.
    void request_of_unclear_length_ends_the_connection()
    {
        for (const std::string header :
             {"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
              "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n",
              "Content-Length: 0\r\nContent-Length: 5\r\n",
              "Content-Length: 0, 5\r\n", "Content-Length: +0\r\n",
              "Content-Length : 0\r\n", "Content-Length: 0\n",
              "Transfer-Encoding: gzip\r\n",
              "Transfer-Encoding: chunked, gzip\r\n",
              "Transfer-Encoding: xchunked\r\n", "X: a\rContent-Length: 0\r\n",
              "X: a\nContent-Length: 0\r\n"})
        {
            echoing_frontend frontend;
            const auto answers =
                frontend.talk("POST /v1/request HTTP/1.1\r\nHost: x\r\n" +
                              header + "\r\n0\r\n\r\n" + post("inner"));
            CPPUNIT_ASSERT_MESSAGE(header, frontend.ids() == names{""});
            CPPUNIT_ASSERT_MESSAGE(header,
                                   answers.find("\r\nConnection: close") !=
                                       std::string::npos);
        }
    }

    void answer_to_head_request_has_no_body()
    {
        echoing_frontend frontend;
        const auto answers =
            frontend.talk("HEAD /metrics HTTP/1.1\r\nHost: x\r\n\r\n" +
                          post("a", close_header));
        const auto end = answers.find("\r\n\r\n");
        CPPUNIT_ASSERT(end != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1"),
                             answers.substr(end + 4, 8));
    }

    void request_behind_a_last_one_is_not_run()
    {
        echoing_frontend frontend;
        frontend.talk(post("a", close_header) + post("b"));
        CPPUNIT_ASSERT((frontend.ids() == names{"a"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_frontend_test);

} // namespace tanagerhoist

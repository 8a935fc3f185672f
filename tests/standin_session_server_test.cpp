#include "platform/line_protocol.hpp"
#include "standin/session_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <thread>
#include <vector>

namespace tanagerhoist::standin
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t most_lines = 8; // of an answer

/// Session with a server, on the thread of the test.
class line_client
{
public:
    explicit line_client(const std::string& address)
    {
        const auto port = address.substr(address.find(':') + 1);
        socket_.connect({asio::ip::address_v4::loopback(),
                         static_cast<std::uint16_t>(std::stoi(port))});
        answer("STARTUP g - s1\r\n");
    }

    /// Sends a line and reads up to the end of its answer.
    std::vector<platform::server_line> answer(const std::string& line)
    {
        asio::write(socket_, asio::buffer(line));
        std::vector<platform::server_line> lines;
        while (lines.size() < most_lines)
        {
            lines.push_back(platform::parse_server_line(next_line()));
            if (lines.back().what == platform::server_line::kind::ready)
            {
                break;
            }
        }
        return lines;
    }

    /// Signature of the result of a statement; empty if it has none.
    std::string signature(const std::string& text)
    {
        for (const auto& line : answer("QUERY q " + text + "\r\n"))
        {
            if (line.what == platform::server_line::kind::complete)
            {
                return line.text;
            }
        }
        return {};
    }

private:
    std::string next_line()
    {
        const auto size =
            asio::read_until(socket_, asio::dynamic_buffer(input_), "\r\n");
        auto line = input_.substr(0, size - 2);
        input_.erase(0, size);
        return line;
    }

    asio::io_context context_;
    tcp::socket socket_{context_};
    std::string input_;
};

} // namespace

class standin_session_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(standin_session_server_test);
    CPPUNIT_TEST(each_read_and_commit_has_its_own_signature);
    CPPUNIT_TEST(values_and_ends_without_commit_have_no_signature);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        thread_ = std::thread([this] { context_.run(); });
    }

    void tearDown() override
    {
        context_.stop();
        thread_.join();
    }

    /// All answers had the same signature, as a repeated answer has.
    void each_read_and_commit_has_its_own_signature()
    {
        std::set<std::string> signatures;
        for (int i = 0; i < 2; ++i)
        {
            line_client client(server_.address());
            signatures.insert(client.signature("READ k"));
            signatures.insert(client.signature("READ k"));
            client.signature("BEGIN");
            signatures.insert(client.signature("READ k"));
            signatures.insert(client.signature("COMMIT"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, signatures.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, signatures.count(""));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, signatures.count("-"));
    }

    void values_and_ends_without_commit_have_no_signature()
    {
        line_client client(server_.address());
        for (const auto* text : {"SET a b", "BEGIN", "ROLLBACK", "RESET"})
        {
            CPPUNIT_ASSERT_EQUAL(std::string("-"), client.signature(text));
        }
    }

private:
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_{
        context_.get_executor()};
    session_group group_{"g", {"s1"}};
    control_commands commands_{milliseconds(0),
                               [](const std::string&, const std::string&) {}};
    session_server server_{context_,
                           {asio::ip::address_v4::loopback(), 0},
                           "s1",
                           group_,
                           commands_};
    std::thread thread_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(standin_session_server_test);

} // namespace tanagerhoist::standin

#include "platform/server_control.hpp"
#include "scripted_server.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{
namespace
{

using platform::demote_line;
using platform::status_line;

/// Fails a test that gets no answer instead of blocking; no test measures it.
constexpr milliseconds answer_timeout{10000};

const std::string ready = "READY I 3.7\r\n";
const std::string complete = "COMPLETE -\r\n";
const std::string busy = "ERROR BUSY not run\r\n";
const std::string older_row = "ROW replica 3 3.7 0 0 0 1\r\n";
const std::string newer_row = "ROW replica 3 3.9 0 0 0 1\r\n";
const std::string older = older_row + complete + ready;
const std::string newer = newer_row + complete + ready;

/// What a server sends after each line of one connection, the startup first.
using conversation = std::vector<std::string>;

/// Sends each line that comes its answer; closes when there is none left.
void hold(scripted_connection& connection, const conversation& answers)
{
    for (const auto& answer : answers)
    {
        if (!connection.read_until("\r\n"))
        {
            return;
        }
        connection.write(answer);
    }
}

std::string text_of(const std::optional<platform::server_status>& status)
{
    return status ? (status->primary ? "primary " : "replica ") +
                        platform::to_text(status->received)
                  : std::string("nothing");
}

backend_server server_at(std::uint16_t port)
{
    backend_server server;
    server.id = "s1";
    server.group = "g";
    server.address = "127.0.0.1";
    server.port = port;
    return server;
}

/// What is taken for the answers to commands by the coordinator.
/// @param connections what the server sends on its connections, in their order
std::string taken(const std::vector<conversation>& connections,
                  const std::vector<std::string>& commands)
{
    std::size_t next = 0;
    scripted_server server(
        [&](scripted_connection& connection)
        {
            if (next < connections.size())
            {
                hold(connection, connections[next++]);
            }
        });
    std::string statuses;
    run_as_fiber(
        [&](boost::asio::io_context& context)
        {
            platform::server_control control(context, server_at(server.port()),
                                             "");
            for (const auto& command : commands)
            {
                statuses += statuses.empty() ? "" : ", ";
                statuses += text_of(control.exchange(command, answer_timeout));
            }
        });
    return statuses;
}

/// What is taken for the answer to one command.
std::string taken(const std::string& answer)
{
    return taken({{ready, answer}}, {status_line()});
}

} // namespace

class server_control_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_control_test);
    CPPUNIT_TEST(repeated_status_is_not_taken_for_newer_one);
    CPPUNIT_TEST(repeated_status_is_not_taken_for_demotion);
    CPPUNIT_TEST(repeated_startup_answer_is_not_taken_for_end_of_command);
    CPPUNIT_TEST(late_startup_answer_is_not_taken_for_end_of_command);
    CPPUNIT_TEST(row_of_failed_command_is_not_taken);
    CPPUNIT_TEST(answer_with_missing_or_further_line_is_not_taken);
    CPPUNIT_TEST(answer_that_is_cut_off_is_not_taken);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A server that repeated its answers late seemed to have an older log.
    void repeated_status_is_not_taken_for_newer_one()
    {
        const std::vector<conversation> connections = {
            {ready, older, older + newer}, {ready, newer}};
        CPPUNIT_ASSERT_EQUAL(
            std::string("replica 3.7, replica 3.9"),
            taken(connections, {status_line(), status_line()}));
    }

    /// A primary that was not demoted counted as a replica.
    void repeated_status_is_not_taken_for_demotion()
    {
        const std::vector<conversation> connections = {
            {ready, older, older + busy + ready}, {ready, busy + ready}};
        CPPUNIT_ASSERT_EQUAL(
            std::string("replica 3.7, nothing"),
            taken(connections, {status_line(), demote_line(4)}));
    }

    /// The answer to the command was then taken for that of the next one.
    void repeated_startup_answer_is_not_taken_for_end_of_command()
    {
        const std::vector<conversation> connections = {
            {ready + ready, older, busy + ready}, {ready, busy + ready}};
        CPPUNIT_ASSERT_EQUAL(
            std::string("nothing, nothing"),
            taken(connections, {status_line(), demote_line(4)}));
    }

    void late_startup_answer_is_not_taken_for_end_of_command()
    {
        const std::vector<conversation> connections = {
            {ready, ready + older, busy + ready}, {ready, busy + ready}};
        CPPUNIT_ASSERT_EQUAL(
            std::string("nothing, nothing"),
            taken(connections, {status_line(), demote_line(4)}));
    }

    void row_of_failed_command_is_not_taken()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("nothing"),
                             taken(older_row + busy + ready));
    }

    void answer_with_missing_or_further_line_is_not_taken()
    {
        const std::vector<std::string> answers = {
            ready,
            complete + ready,
            older_row + ready,
            older_row + newer_row + complete + ready,
            older_row + complete + complete + ready,
            complete + older_row + ready};
        for (const auto& answer : answers)
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, std::string("nothing"),
                                         taken(answer));
        }
    }

    void answer_that_is_cut_off_is_not_taken()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("nothing"),
                             taken(older_row + complete));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_control_test);

} // namespace tanagerhoist

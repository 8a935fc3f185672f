#include "proxy_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace tanagerhoist
{
namespace
{

/// A proxy whose servers send more than the answers to their statements.
class surplus_proxy : public proxy_fixture
{
public:
    /// Opens idle connections to the primary.
    std::vector<connection_id> open_idle(std::size_t count)
    {
        std::vector<connection_id> opened;
        for (std::size_t i = 0; i < count; ++i)
        {
            ask(start("primary"), make(statement_kind::read, "1"));
            opened.push_back(open_last());
        }
        for (const auto id : opened)
        {
            answer(id, {}, next_signature());
        }
        advance(milliseconds(400)); // rested, even if the server repeats
        subject.renew_primary_lease(now);
        return opened;
    }

    void answer(connection_id connection, const std::vector<std::string>& rows,
                const std::string& signature,
                transaction_state state = transaction_state::none,
                const std::vector<std::size_t>& row_starts = {})
    {
        for (const auto& row : rows)
        {
            subject.server_row(now, connection, row, row_starts);
        }
        subject.server_complete(now, connection, signature);
        subject.server_ready(now, connection, state,
                             log_position{lead.term(), 100});
    }

    void use_slots(unsigned slots)
    {
        for (auto& [id, server] : servers)
        {
            server.slots = slots;
        }
        subject.use_servers(now, servers);
    }

    std::size_t answers(session_id session) const
    {
        const auto it = transport.answers.find(session);
        return it == transport.answers.end() ? 0 : it->second.size();
    }

    bool is_closed(connection_id connection) const
    {
        return std::count(transport.closed.begin(), transport.closed.end(),
                          connection) != 0;
    }
};

constexpr unsigned most_tries = 8;
constexpr unsigned most_connections = 4; ///< two for a VM alone

} // namespace

class proxy_answer_review_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_answer_review_test);
    CPPUNIT_TEST(session_ends_while_it_is_placed);
    CPPUNIT_TEST(unread_bytes_on_idle_connections_use_up_no_retries);
    CPPUNIT_TEST(rest_holds_no_statement_up_when_no_more_connections_may_open);
    CPPUNIT_TEST(cut_row_before_another_row_is_not_passed_on);
    CPPUNIT_TEST(cut_row_is_not_passed_on_where_rows_recur);
    CPPUNIT_TEST(rows_of_an_earlier_answer_are_not_passed_on_where_rows_recur);
    CPPUNIT_TEST(rows_of_an_earlier_answer_are_not_passed_on_for_a_write);
    CPPUNIT_TEST(transaction_begins_behind_no_begin_that_may_be_repeated);
    CPPUNIT_TEST(rows_of_commits_are_passed_on_where_commits_have_rows);
    CPPUNIT_TEST(rows_of_writes_are_passed_on_where_writes_have_rows);
    CPPUNIT_TEST(
        read_of_a_transaction_with_rows_of_an_earlier_one_is_sent_again);
    CPPUNIT_TEST(read_that_is_sent_again_waits_for_the_end_of_a_second_answer);
    CPPUNIT_TEST(transactions_with_two_equal_reads_are_served);
    CPPUNIT_TEST(error_of_a_begin_taken_for_its_read_ends_the_connection);
    CPPUNIT_TEST_SUITE_END();

public:
    void session_ends_while_it_is_placed()
    {
        surplus_proxy f;
        f.use_slots(2 * most_tries);
        for (const auto id : f.open_idle(most_tries + 1))
        {
            f.transport.arriving.insert(id);
        }
        const drain_schedule schedule(f.now, milliseconds(6000));
        f.subject.begin_drain(schedule);
        f.now = schedule.closes_idle();
        f.subject.renew_primary_lease(f.now);
        const auto client = f.start("primary");
        f.ask(client, f.make(statement_kind::read, "1"));
        f.subject.tick(f.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers(client));
    }

    void unread_bytes_on_idle_connections_use_up_no_retries()
    {
        surplus_proxy f;
        f.use_slots(2 * most_tries);
        for (const auto id : f.open_idle(most_tries + 1))
        {
            f.transport.unread.insert(id);
        }
        const auto client = f.start("primary");
        f.ask(client, f.make(statement_kind::write, "1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.answers(client));
        f.open_last();
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(client).error);
    }

    void rest_holds_no_statement_up_when_no_more_connections_may_open()
    {
        surplus_proxy f;
        f.settings.groups["g"].connections = most_connections;
        ++f.settings.version;
        f.use_settings();
        const auto one = f.start("primary");
        const auto two = f.start("primary");
        f.ask(one, f.make(statement_kind::read, "1"));
        const auto first = f.open_last();
        f.ask(two, f.make(statement_kind::read, "2"));
        const auto second = f.open_last();
        f.answer(first, {"a"}, "s1");
        f.answer(second, {"b"}, "s2");
        f.advance(milliseconds(400));
        f.subject.renew_primary_lease(f.now);
        f.subject.server_row(f.now, first, "a");
        CPPUNIT_ASSERT(f.is_closed(first));
        f.ask(one, f.make(statement_kind::read, "1"));
        f.answer(f.transport.sent.back().connection, {"a"}, "s3");
        f.ask(one, f.make(statement_kind::read, "1"));
        f.answer(f.open_last(), {"a"}, "s4");
        const auto opened = f.transport.opened.size();
        f.ask(one, f.make(statement_kind::read, "1"));
        CPPUNIT_ASSERT_EQUAL(opened + 1, f.transport.opened.size());
    }

    void cut_row_before_another_row_is_not_passed_on()
    {
        surplus_proxy f;
        const auto client = f.start("primary");
        f.ask(client, f.make(statement_kind::read, "1"));
        const auto connection = f.open_last();
        f.answer(connection, {"abcd"}, "s1");
        f.ask(client, f.make(statement_kind::read, "2"));
        // "ROW ab" of the answer before, cut, and "ROW wxyz"
        f.answer(connection, {"abROW wxyz"}, "s2", transaction_state::none,
                 {2});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers(client));
        CPPUNIT_ASSERT(f.is_closed(connection));
    }

    void cut_row_is_not_passed_on_where_rows_recur()
    {
        surplus_proxy f;
        const auto client = f.start("primary");
        f.ask(client, f.make(statement_kind::read, "1"));
        const auto first = f.open_last();
        f.answer(first, {"a"}, "s1");
        f.ask(client, f.make(statement_kind::read, "2"));
        f.answer(first, {"a"}, "s2");
        const auto connection = f.open_last();
        f.answer(connection, {"a"}, "s3"); // rows recur at this server
        f.ask(client, f.make(statement_kind::read, "3"));
        f.answer(connection, {"aROW wxyz"}, "s4", transaction_state::none, {1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.answers(client));
    }

    void rows_of_an_earlier_answer_are_not_passed_on_where_rows_recur()
    {
        surplus_proxy f;
        const auto client = f.start("primary");
        f.ask(client, f.make(statement_kind::read, "1"));
        const auto first = f.open_last();
        f.answer(first, {"a"}, "s1");
        f.ask(client, f.make(statement_kind::read, "2"));
        f.answer(first, {"a"}, "s2");
        const auto connection = f.open_last();
        f.answer(connection, {"a"}, "s3"); // rows recur at this server
        f.ask(client, f.make(statement_kind::read, "3"));
        f.answer(connection, {"c"}, "s4");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.answers(client));
        f.ask(client, f.make(statement_kind::read, "4"));
        f.answer(connection, {"c", "b"}, "s5"); // "c" came again
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.answers(client));
    }

    void rows_of_an_earlier_answer_are_not_passed_on_for_a_write()
    {
        surplus_proxy f;
        const auto client = f.start("primary");
        f.ask(client, f.make(statement_kind::read, "1"));
        const auto connection = f.open_last();
        f.answer(connection, {"a"}, "s1");
        f.ask(client, f.make(statement_kind::write, "1"));
        f.answer(connection, {"a"}, "s2");
        CPPUNIT_ASSERT(f.transport.last_answer(client).error ==
                       session_error::outcome_unknown);
    }

    void transaction_begins_behind_no_begin_that_may_be_repeated()
    {
        surplus_proxy f;
        const auto idle = f.open_idle(2);
        const auto client = f.start("primary");
        f.ask(client, f.make(statement_kind::begin_read));
        f.ask(client, f.make(statement_kind::read, "1"));
        const auto connection = f.transport.sent.back().connection;
        f.answer(connection, {}, "-", transaction_state::open);
        f.answer(connection, {}, f.next_signature(), transaction_state::open);
        f.ask(client, f.make(statement_kind::commit));
        f.answer(connection, {}, f.next_signature());
        const auto other = idle.front() == connection ? idle[1] : idle[0];
        f.subject.server_row(f.now, other, "a"); // the server repeats answers
        CPPUNIT_ASSERT(f.is_closed(other));
        f.advance(milliseconds(400));
        f.subject.renew_primary_lease(f.now);
        f.ask(client, f.make(statement_kind::begin_read));
        f.ask(client, f.make(statement_kind::read, "2"));
        CPPUNIT_ASSERT(f.open_last() != connection);
        CPPUNIT_ASSERT(f.transport.sent.back().connection != connection);
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::begin_read);
    }

    void rows_of_commits_are_passed_on_where_commits_have_rows()
    {
        surplus_proxy f;
        const auto client = f.start("primary");
        f.ask(client, f.make(statement_kind::begin));
        f.ask(client, f.make(statement_kind::write, "1"));
        const auto connection = f.open_last();
        f.answer(connection, {}, "-", transaction_state::open);
        f.answer(connection, {}, "s1", transaction_state::open);
        f.ask(client, f.make(statement_kind::commit));
        f.answer(connection, {"1"}, "s2");
        CPPUNIT_ASSERT(!f.transport.last_answer(client).error);
    }

    void rows_of_writes_are_passed_on_where_writes_have_rows()
    {
        surplus_proxy f;
        const auto client = f.start("primary");
        f.ask(client, f.make(statement_kind::write, "1"));
        const auto connection = f.open_last();
        f.answer(connection, {"1"}, "s1");
        f.ask(client, f.make(statement_kind::write, "2"));
        f.answer(connection, {"1"}, "s2");
        CPPUNIT_ASSERT(!f.transport.last_answer(client).error);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.answers(client));
    }

    void read_of_a_transaction_with_rows_of_an_earlier_one_is_sent_again()
    {
        surplus_proxy f;
        const auto client = f.start("primary");
        f.ask(client, f.make(statement_kind::begin));
        f.ask(client, f.make(statement_kind::read, "1"));
        const auto connection = f.open_last();
        f.answer(connection, {}, "-", transaction_state::open);
        f.answer(connection, {"a"}, "s1", transaction_state::open);
        f.ask(client, f.make(statement_kind::read, "2"));
        const auto sent = f.transport.sent.size();
        f.answer(connection, {"a", "b"}, "s2", transaction_state::open);
        CPPUNIT_ASSERT_EQUAL(sent + 1, f.transport.sent.size());
        f.answer(connection, {"b"}, "s3", transaction_state::open);
        CPPUNIT_ASSERT(f.transport.last_answer(client).rows ==
                       std::vector<std::string>{"b"});
        CPPUNIT_ASSERT_EQUAL(std::string("s3"),
                             f.transport.last_answer(client).signature);
    }

    void read_that_is_sent_again_waits_for_the_end_of_a_second_answer()
    {
        surplus_proxy f;
        const auto client = f.start("primary");
        f.ask(client, f.make(statement_kind::begin));
        f.ask(client, f.make(statement_kind::read, "1"));
        const auto connection = f.open_last();
        f.answer(connection, {}, "-", transaction_state::open);
        f.answer(connection, {"a"}, "s1", transaction_state::open);
        f.ask(client, f.make(statement_kind::read, "2"));
        f.transport.unread.insert(connection);
        f.answer(connection, {"a", "b"}, "s2", transaction_state::open);
        f.transport.unread.clear();
        f.answer(connection, {"a"}, "s1", transaction_state::open);
        f.answer(connection, {"b"}, "s3", transaction_state::open);
        CPPUNIT_ASSERT_EQUAL(std::string("s3"),
                             f.transport.last_answer(client).signature);
    }

    /// A server whose items hold the same rows.
    void transactions_with_two_equal_reads_are_served()
    {
        surplus_proxy f;
        const auto client = f.start("primary");
        bool served = false;
        for (int attempt = 0; attempt < 4 && !served; ++attempt)
        {
            const auto opened = f.transport.opened.size();
            f.ask(client, f.make(statement_kind::begin));
            f.ask(client, f.make(statement_kind::read, "1"));
            if (f.transport.opened.size() != opened)
            {
                f.open_last();
            }
            const auto connection = f.transport.sent.back().connection;
            f.answer(connection, {}, "-", transaction_state::open);
            f.answer(connection, {"0"}, f.next_signature(),
                     transaction_state::open);
            const auto before = f.answers(client);
            f.ask(client, f.make(statement_kind::read, "2"));
            f.answer(connection, {"0"}, f.next_signature(),
                     transaction_state::open);
            const bool again = f.answers(client) == before;
            if (again)
            {
                f.answer(connection, {"0"}, f.next_signature(),
                         transaction_state::open);
            }
            served = !f.transport.last_answer(client).error;
            f.ask(client, f.make(statement_kind::rollback));
        }
        CPPUNIT_ASSERT(served);
    }

    void error_of_a_begin_taken_for_its_read_ends_the_connection()
    {
        surplus_proxy f;
        const auto client = f.start("primary");
        f.ask(client, f.make(statement_kind::begin_read));
        f.ask(client, f.make(statement_kind::read, "1"));
        const auto connection = f.open_last();
        f.answer(connection, {}, "-", transaction_state::open);
        f.answer(connection, {"a"}, "s1", transaction_state::open);
        f.ask(client, f.make(statement_kind::commit));
        f.answer(connection, {}, "s2");
        f.ask(client, f.make(statement_kind::begin_read));
        f.ask(client, f.make(statement_kind::read, "2"));
        CPPUNIT_ASSERT_EQUAL(connection, f.transport.sent.back().connection);
        f.answer(connection, {}, "-", transaction_state::open); // BEGIN, again
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::read);
        f.subject.server_error(f.now, connection, session_error::lagging, "");
        f.subject.server_ready(f.now, connection, transaction_state::none, {});
        // The read's own answer would be the next statement's.
        CPPUNIT_ASSERT(f.is_closed(connection));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_answer_review_test);

} // namespace tanagerhoist

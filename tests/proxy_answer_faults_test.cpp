#include "proxy_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace tanagerhoist
{
namespace
{

/// A proxy that has run statements on connections to its primary.
class answered_proxy : public proxy_fixture
{
public:
    answered_proxy() : client(start("primary")) {}

    /// Runs a client's statement, on a new connection if one is opened.
    /// @return the connection
    connection_id begin_statement(statement what)
    {
        const auto opened = transport.opened.size();
        ask(client, std::move(what));
        if (transport.opened.size() != opened)
        {
            open_last();
        }
        return transport.sent.back().connection;
    }

    connection_id begin_read(const std::string& item = "1")
    {
        return begin_statement(make(statement_kind::read, item));
    }

    connection_id begin_write()
    {
        return begin_statement(make(statement_kind::write, "1"));
    }

    /// Begins a transaction with a read, which is not answered yet.
    connection_id begin_transaction()
    {
        ask(client, make(statement_kind::begin));
        const auto connection = begin_read();
        answer(connection, {}, "-", transaction_state::open);
        return connection;
    }

    /// Answers as a server does.
    void answer(connection_id connection, const std::vector<std::string>& rows,
                const std::string& signature,
                transaction_state state = transaction_state::none,
                std::uint64_t number = 100)
    {
        for (const auto& row : rows)
        {
            subject.server_row(now, connection, row);
        }
        subject.server_complete(now, connection, signature);
        subject.server_ready(now, connection, state,
                             log_position{lead.term(), number});
    }

    void answer_error(connection_id connection, session_error error)
    {
        subject.server_error(now, connection, error, "full");
        subject.server_ready(now, connection, transaction_state::none,
                             log_position{lead.term(), 100});
    }

    std::size_t answers() const
    {
        const auto it = transport.answers.find(client);
        return it == transport.answers.end() ? 0 : it->second.size();
    }

    bool is_closed(connection_id connection) const
    {
        return std::count(transport.closed.begin(), transport.closed.end(),
                          connection) != 0;
    }

    std::uint64_t faults(answer_fault fault) const
    {
        return subject.figures().faults.at(static_cast<std::size_t>(fault));
    }

    session_id client;
};

const std::vector<std::string> no_rows;

} // namespace

class proxy_answer_faults_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_answer_faults_test);
    CPPUNIT_TEST(late_second_answer_is_not_taken_for_the_next_read);
    CPPUNIT_TEST(row_among_a_second_answer_is_not_lost);
    CPPUNIT_TEST(late_second_answer_is_not_taken_for_the_next_write);
    CPPUNIT_TEST(result_of_an_own_statement_is_not_taken_for_a_write);
    CPPUNIT_TEST(second_answer_in_one_piece_meets_no_statement);
    CPPUNIT_TEST(line_on_an_idle_connection_ends_it);
    CPPUNIT_TEST(part_of_a_line_on_an_idle_connection_ends_it);
    CPPUNIT_TEST(line_between_statements_of_a_transaction_rolls_it_back);
    CPPUNIT_TEST(second_answer_between_statements_leaves_the_transaction_open);
    CPPUNIT_TEST(answer_that_no_statement_had_ends_the_transaction);
    CPPUNIT_TEST(late_second_answer_leaves_the_transaction_open);
    CPPUNIT_TEST(ready_without_a_result_answers_nothing);
    CPPUNIT_TEST(row_after_a_result_answers_nothing);
    CPPUNIT_TEST(second_result_answers_nothing);
    CPPUNIT_TEST(state_that_a_statement_cannot_have_answers_nothing);
    CPPUNIT_TEST(rows_of_an_own_statement_answer_nothing);
    CPPUNIT_TEST(write_runs_on_no_connection_that_may_repeat_an_error);
    CPPUNIT_TEST(read_after_a_repeated_error_is_the_connections_last);
    CPPUNIT_TEST(rows_of_an_earlier_answer_are_not_passed_on);
    CPPUNIT_TEST(row_behind_a_cut_line_of_an_earlier_answer_is_not_passed_on);
    CPPUNIT_TEST(rows_that_come_twice_are_passed_on);
    CPPUNIT_TEST(same_rows_of_the_same_statement_are_passed_on);
    CPPUNIT_TEST(repeated_position_does_not_make_a_read_look_fresh);
    CPPUNIT_TEST(connection_rests_at_a_server_that_repeats_answers);
    CPPUNIT_TEST(connection_with_as_many_answers_as_are_remembered_is_closed);
    CPPUNIT_TEST_SUITE_END();

public:
    void late_second_answer_is_not_taken_for_the_next_read()
    {
        answered_proxy f;
        const auto connection = f.begin_read("1");
        f.answer(connection, {"a"}, "s1");
        CPPUNIT_ASSERT_EQUAL(connection, f.begin_read("2"));
        f.answer(connection, {"a"}, "s1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers());
        f.answer(connection, {"b"}, "s2");
        CPPUNIT_ASSERT(f.transport.last_answer(f.client).rows ==
                       std::vector<std::string>{"b"});
        CPPUNIT_ASSERT_EQUAL(std::string("s2"),
                             f.transport.last_answer(f.client).signature);
        CPPUNIT_ASSERT(f.is_closed(connection));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             f.faults(answer_fault::repeated));
    }

    void row_among_a_second_answer_is_not_lost()
    {
        answered_proxy f;
        const auto connection = f.begin_read("1");
        f.answer(connection, {"a"}, "s1");
        f.begin_read("2");
        f.answer(connection, {"b", "a"}, "s1"); // "b" is of the second read
        CPPUNIT_ASSERT(f.is_closed(connection));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers());
        const auto other = f.open_last();
        f.answer(other, {"b", "c"}, "s2");
        CPPUNIT_ASSERT_EQUAL(std::string("s2"),
                             f.transport.last_answer(f.client).signature);
    }

    void late_second_answer_is_not_taken_for_the_next_write()
    {
        answered_proxy f;
        const auto connection = f.begin_write();
        f.answer(connection, no_rows, "s1");
        CPPUNIT_ASSERT_EQUAL(connection, f.begin_write());
        f.answer(connection, no_rows, "s1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers());
        f.answer(connection, no_rows, "s2");
        CPPUNIT_ASSERT_EQUAL(std::string("s2"),
                             f.transport.last_answer(f.client).signature);
        CPPUNIT_ASSERT(f.is_closed(connection));
    }

    void result_of_an_own_statement_is_not_taken_for_a_write()
    {
        answered_proxy f;
        f.ask(f.client, f.make(statement_kind::set, "v", "1"));
        const auto connection = f.begin_write();
        f.answer(connection, no_rows, "-"); // of the SET
        f.answer(connection, no_rows, "-"); // again
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers());
        f.answer(connection, no_rows, "s1");
        CPPUNIT_ASSERT_EQUAL(std::string("s1"),
                             f.transport.last_answer(f.client).signature);
        CPPUNIT_ASSERT(f.is_closed(connection));
    }

    void second_answer_in_one_piece_meets_no_statement()
    {
        answered_proxy f;
        const auto connection = f.begin_write();
        f.answer(connection, no_rows, "s1");
        f.transport.unread.insert(connection);
        CPPUNIT_ASSERT(f.begin_write() != connection);
        CPPUNIT_ASSERT(f.is_closed(connection));
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(f.client).error);
    }

    void line_on_an_idle_connection_ends_it()
    {
        answered_proxy f;
        const auto connection = f.begin_read();
        f.answer(connection, {"a"}, "s1");
        f.subject.server_row(f.now, connection, "a");
        CPPUNIT_ASSERT(f.is_closed(connection));
    }

    void part_of_a_line_on_an_idle_connection_ends_it()
    {
        answered_proxy f;
        const auto connection = f.begin_read();
        f.subject.server_bytes(f.now, connection);
        CPPUNIT_ASSERT(!f.is_closed(connection));
        f.answer(connection, {"a"}, "s1");
        f.subject.server_bytes(f.now, connection);
        CPPUNIT_ASSERT(f.is_closed(connection));
    }

    void line_between_statements_of_a_transaction_rolls_it_back()
    {
        answered_proxy f;
        const auto connection = f.begin_transaction();
        f.answer(connection, {"a"}, "s1", transaction_state::open);
        f.subject.server_row(f.now, connection, "a");
        const auto sent = f.transport.sent.size();
        f.ask(f.client, f.make(statement_kind::commit));
        CPPUNIT_ASSERT_EQUAL(sent, f.transport.sent.size());
        f.advance(milliseconds(100));
        f.subject.tick(f.now);
        CPPUNIT_ASSERT(f.is_closed(connection));
        CPPUNIT_ASSERT(f.transport.last_answer(f.client).error ==
                       session_error::aborted);
    }

    void second_answer_between_statements_leaves_the_transaction_open()
    {
        answered_proxy f;
        const auto connection = f.begin_transaction();
        f.answer(connection, {"a"}, "s1", transaction_state::open);
        f.transport.unread.insert(connection);
        f.ask(f.client, f.make(statement_kind::commit));
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::read);
        f.transport.unread.clear();
        f.answer(connection, {"a"}, "s1", transaction_state::open);
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::commit);
        f.answer(connection, no_rows, "s2");
        CPPUNIT_ASSERT_EQUAL(std::string("s2"),
                             f.transport.last_answer(f.client).signature);
        CPPUNIT_ASSERT(f.is_closed(connection));
    }

    void answer_that_no_statement_had_ends_the_transaction()
    {
        answered_proxy f;
        const auto connection = f.begin_transaction();
        f.answer(connection, {"a"}, "s1", transaction_state::open);
        f.answer(connection, {"b"}, "s1", transaction_state::open);
        CPPUNIT_ASSERT(f.is_closed(connection));
    }

    void late_second_answer_leaves_the_transaction_open()
    {
        answered_proxy f;
        const auto connection = f.begin_transaction();
        f.answer(connection, {"a"}, "s1", transaction_state::open);
        CPPUNIT_ASSERT_EQUAL(connection, f.begin_read("2"));
        f.answer(connection, {"a"}, "s1", transaction_state::open);
        f.answer(connection, {"b"}, "s2", transaction_state::open);
        CPPUNIT_ASSERT(f.transport.last_answer(f.client).rows ==
                       std::vector<std::string>{"b"});
        CPPUNIT_ASSERT(!f.is_closed(connection));
    }

    void ready_without_a_result_answers_nothing()
    {
        answered_proxy f;
        const auto connection = f.begin_write();
        f.subject.server_ready(f.now, connection, transaction_state::none, {});
        CPPUNIT_ASSERT(f.is_closed(connection));
        CPPUNIT_ASSERT(f.transport.last_answer(f.client).error ==
                       session_error::outcome_unknown);
    }

    void row_after_a_result_answers_nothing()
    {
        answered_proxy f;
        const auto connection = f.begin_read();
        f.subject.server_complete(f.now, connection, "s1");
        f.subject.server_row(f.now, connection, "a");
        CPPUNIT_ASSERT(f.is_closed(connection));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.answers());
    }

    void second_result_answers_nothing()
    {
        answered_proxy f;
        const auto connection = f.begin_read();
        f.subject.server_error(f.now, connection, session_error::busy, "");
        f.subject.server_complete(f.now, connection, "s1");
        CPPUNIT_ASSERT(f.is_closed(connection));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.answers());
    }

    void state_that_a_statement_cannot_have_answers_nothing()
    {
        answered_proxy f;
        const auto connection = f.begin_transaction();
        f.answer(connection, {"a"}, "s1", transaction_state::none);
        CPPUNIT_ASSERT(f.is_closed(connection));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             f.faults(answer_fault::wrong_state));
    }

    void rows_of_an_own_statement_answer_nothing()
    {
        answered_proxy f;
        f.ask(f.client, f.make(statement_kind::set, "v", "1"));
        const auto connection = f.begin_read();
        f.answer(connection, {"a"}, "-");
        CPPUNIT_ASSERT(f.is_closed(connection));
    }

    void write_runs_on_no_connection_that_may_repeat_an_error()
    {
        answered_proxy f;
        const auto connection = f.begin_read();
        f.answer_error(connection, session_error::failed);
        f.answer_error(connection, session_error::failed);
        CPPUNIT_ASSERT(f.begin_write() != connection);
        f.ask(f.client, f.make(statement_kind::begin));
        CPPUNIT_ASSERT(f.transport.sent.back().connection != connection);
    }

    void read_after_a_repeated_error_is_the_connections_last()
    {
        answered_proxy f;
        const auto connection = f.begin_read();
        f.answer_error(connection, session_error::lagging);
        f.advance(milliseconds(700));
        f.subject.tick(f.now);
        CPPUNIT_ASSERT_EQUAL(connection, f.transport.sent.back().connection);
        f.answer_error(connection, session_error::lagging);
        CPPUNIT_ASSERT(f.is_closed(connection));
    }

    void rows_of_an_earlier_answer_are_not_passed_on()
    {
        answered_proxy f;
        const auto connection = f.begin_read("1");
        f.answer(connection, {"a", "b"}, "s1");
        CPPUNIT_ASSERT_EQUAL(connection, f.begin_read("2"));
        f.answer(connection, {"a", "c"}, "s2"); // "a" came again
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers());
        f.answer(f.open_last(), {"c"}, "s3");
        CPPUNIT_ASSERT(f.transport.last_answer(f.client).rows ==
                       std::vector<std::string>{"c"});
    }

    void row_behind_a_cut_line_of_an_earlier_answer_is_not_passed_on()
    {
        answered_proxy f;
        const auto connection = f.begin_read("1");
        f.answer(connection, {"abcd"}, "s1");
        f.begin_read("2");
        f.subject.server_row(f.now, connection, "abROW x", {2});
        f.answer(connection, {}, "s2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers());
        const auto other = f.open_last();
        f.subject.server_row(f.now, other, "xyROW abROW x", {2, 7});
        f.answer(other, {}, "s3"); // nothing came there before
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.answers());
    }

    void rows_that_come_twice_are_passed_on()
    {
        answered_proxy f;
        const auto connection = f.begin_read("1");
        f.answer(connection, {"a"}, "s1");
        f.begin_read("2");
        f.answer(connection, {"a"}, "s2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers());
        const auto other = f.open_last();
        f.answer(other, {"a"}, "s3");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.answers());
        CPPUNIT_ASSERT_EQUAL(other, f.begin_read("3"));
        f.answer(other, {"a"}, "s4"); // rows recur at this server
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.answers());
    }

    void same_rows_of_the_same_statement_are_passed_on()
    {
        answered_proxy f;
        const auto connection = f.begin_read("1");
        f.answer(connection, {"a"}, "s1");
        f.begin_read("1");
        f.answer(connection, {"a"}, "s2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.answers());
    }

    void repeated_position_does_not_make_a_read_look_fresh()
    {
        answered_proxy f;
        f.ask(f.client, f.make(statement_kind::set, "v", "1"));
        const auto connection = f.begin_read();
        f.answer(connection, no_rows, "-", transaction_state::none, 50);
        f.answer(connection, {"a"}, "s1", transaction_state::none, 100);
        f.advance(milliseconds(1000));
        f.ask(f.client, f.make(statement_kind::set, "v", "2"));
        f.begin_read();
        f.answer(connection, no_rows, "-", transaction_state::none, 50);
        proto::VmReport report;
        f.subject.describe(f.now, report);
        CPPUNIT_ASSERT_EQUAL(1, report.positions_size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, report.positions(0).number());
        CPPUNIT_ASSERT(report.positions(0).age_ms() >= 1000);
    }

    void connection_rests_at_a_server_that_repeats_answers()
    {
        answered_proxy f;
        const auto repeating = f.begin_read("1");
        f.answer(repeating, {"a"}, "s1");
        f.advance(milliseconds(50));
        f.subject.server_row(f.now, repeating, "a");
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            static_cast<std::size_t>(std::count_if(
                f.lines.lines.begin(), f.lines.lines.end(),
                [](const auto& line)
                { return line.at("event") == "server_repeats_answers"; })));
        const auto connection = f.begin_read("2");
        f.answer(connection, {"b"}, "s2");
        f.advance(milliseconds(60));
        CPPUNIT_ASSERT(f.begin_read("3") != connection);
        f.succeed();
        f.advance(milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(connection, f.begin_read("4"));
    }

    void connection_with_as_many_answers_as_are_remembered_is_closed()
    {
        constexpr int most = 1024;
        answered_proxy f;
        const auto connection = f.begin_read();
        for (int i = 1; i < most; ++i)
        {
            f.succeed();
            f.advance(milliseconds(5)); // within the workspace's rate
            f.subject.renew_primary_lease(f.now);
            CPPUNIT_ASSERT_EQUAL(connection, f.begin_read());
        }
        f.succeed();
        CPPUNIT_ASSERT(f.is_closed(connection));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_answer_faults_test);

} // namespace tanagerhoist

#include "platform/line_protocol.hpp"
#include "proxy_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>

namespace tanagerhoist
{

/// Statements of almost the largest size, whose lines grow on their way.
class large_statements_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(large_statements_test);
    CPPUNIT_TEST(query_of_the_largest_size_has_no_room);
    CPPUNIT_TEST(largest_position_takes_the_stated_room);
    CPPUNIT_TEST(read_without_room_for_a_position_runs_at_the_primary);
    CPPUNIT_TEST(read_with_room_for_a_position_runs_at_a_replica);
    CPPUNIT_TEST(read_in_a_transaction_needs_no_room);
    CPPUNIT_TEST(executed_read_needs_room_for_its_name_and_a_position);
    CPPUNIT_TEST(execute_without_room_for_its_name_is_too_large);
    CPPUNIT_TEST(execute_with_room_for_its_name_runs);
    CPPUNIT_TEST(
        prepare_without_room_for_its_name_is_answered_and_not_executed);
    CPPUNIT_TEST_SUITE_END();

    static statement with_room(statement what, std::size_t room)
    {
        what.room = room;
        return what;
    }

    /// Asks for a read that replicas can serve.
    static session_id start_near_replica(proxy_fixture& f)
    {
        f.servers["p"].data_centre = "c";
        f.servers["q"].data_centre = "a";
        f.subject.use_servers(f.now, f.servers);
        f.report_position(50);
        f.advance(milliseconds(1000));
        return f.start("bounded");
    }

    /// Bytes by which a name of two bytes grows.
    static std::size_t growth_of(const std::string& shape)
    {
        return prepared_statement{false, shape}.shared_name().size() - 2;
    }

public:
    void query_of_the_largest_size_has_no_room()
    {
        const std::string start = "QUERY 5c WRITE 1a4 ";
        const auto size = platform::line_limit - start.size();
        const auto largest =
            platform::parse_client_line(start + std::string(size, 'x'));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, largest.room);
        const auto smaller =
            platform::parse_client_line(start + std::string(size - 7, 'x'));
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, smaller.room);
    }

    void largest_position_takes_the_stated_room()
    {
        constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
        server_statement sent;
        sent.query_id = "5c";
        sent.what = platform::parse_statement("READ 1a4");
        const auto size = platform::query_line(sent).size();
        sent.after = log_position{largest, largest};
        CPPUNIT_ASSERT_EQUAL(size + largest_position,
                             platform::query_line(sent).size());
    }

    /// Servers ended the connection: the message was above 1 MiB.
    void read_without_room_for_a_position_runs_at_the_primary()
    {
        proxy_fixture f;
        const auto id = start_near_replica(f);
        f.ask(id, with_room(f.make(statement_kind::read, "1"),
                            largest_position - 1));
        CPPUNIT_ASSERT_EQUAL(std::string("p"),
                             f.transport.opened.back().server);
        f.open_last();
        CPPUNIT_ASSERT(!f.transport.sent.back().statement.after);
    }

    void read_with_room_for_a_position_runs_at_a_replica()
    {
        proxy_fixture f;
        const auto id = start_near_replica(f);
        f.ask(id,
              with_room(f.make(statement_kind::read, "1"), largest_position));
        CPPUNIT_ASSERT_EQUAL(std::string("q"),
                             f.transport.opened.back().server);
        f.open_last();
        CPPUNIT_ASSERT(f.transport.sent.back().statement.after);
    }

    void read_in_a_transaction_needs_no_room()
    {
        proxy_fixture f;
        const auto id = start_near_replica(f);
        f.ask(id, f.make(statement_kind::begin_read));
        f.ask(id, with_room(f.make(statement_kind::read, "1"), 0));
        CPPUNIT_ASSERT_EQUAL(std::string("q"),
                             f.transport.opened.back().server);
        f.open_last();
        CPPUNIT_ASSERT(f.transport.sent.back().statement.after);
        f.succeed(transaction_state::open);
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::read);
        CPPUNIT_ASSERT(!f.transport.sent.back().statement.after);
    }

    void executed_read_needs_room_for_its_name_and_a_position()
    {
        for (const std::size_t missing : {0, 1})
        {
            proxy_fixture f;
            const auto id = start_near_replica(f);
            f.ask(id, f.make(statement_kind::prepare, "s1", "shape"));
            f.ask(id,
                  with_room(f.make(statement_kind::execute, "s1", "1"),
                            growth_of("shape") + largest_position - missing));
            CPPUNIT_ASSERT_EQUAL(std::string(missing == 0 ? "q" : "p"),
                                 f.transport.opened.back().server);
        }
    }

    void execute_without_room_for_its_name_is_too_large()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::prepare, "s1", "shape"));
        f.ask(id, with_room(f.make(statement_kind::execute, "s1", "1"),
                            growth_of("shape") - 1));
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::too_large);
        CPPUNIT_ASSERT(f.transport.opened.empty());
    }

    void execute_with_room_for_its_name_runs()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::prepare, "s1", "shape"));
        f.ask(id, with_room(f.make(statement_kind::execute, "s1", "1"),
                            growth_of("shape")));
        CPPUNIT_ASSERT_EQUAL(std::string("p"),
                             f.transport.opened.back().server);
    }

    void prepare_without_room_for_its_name_is_answered_and_not_executed()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        const auto prepare = f.make(statement_kind::prepare, "s1", "shape");
        f.ask(id, with_room(prepare, growth_of("shape") - 1));
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
        f.ask(id, f.make(statement_kind::execute, "s1", "1"));
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::too_large);
        CPPUNIT_ASSERT(f.transport.opened.empty());
        f.ask(id, with_room(prepare, growth_of("shape")));
        f.ask(id, f.make(statement_kind::execute, "s1", "1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.opened.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(large_statements_test);

} // namespace tanagerhoist

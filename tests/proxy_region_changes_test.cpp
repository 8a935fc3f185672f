#include "proxy_regions_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace tanagerhoist
{

class proxy_region_changes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_region_changes_test);
    CPPUNIT_TEST(read_moves_if_its_region_is_closed_while_it_connects);
    CPPUNIT_TEST(statement_not_sent_yet_is_placed_by_new_settings);
    CPPUNIT_TEST(open_transaction_ends_at_its_server_after_a_change);
    CPPUNIT_TEST(position_is_asked_if_nothing_runs_at_the_primary);
    CPPUNIT_TEST(probe_names_a_workspace_that_may_use_the_server);
    CPPUNIT_TEST(idle_connection_is_closed_if_its_workspace_may_not_use_it);
    CPPUNIT_TEST(restricted_session_whose_route_is_gone_is_sent_nowhere);
    CPPUNIT_TEST(unknown_region_is_logged_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void read_moves_if_its_region_is_closed_while_it_connects()
    {
        regions_fixture f;
        f.allow_route("bounded", {"east"});
        const auto id = f.ask_at("bounded", statement_kind::read);
        f.expect_opened({"q", "r"});
        f.allow_route("bounded", {"west"});
        f.open_last();
        CPPUNIT_ASSERT(f.transport.sent.empty());
        f.expect_opened({"p"});
        f.open_last();
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
    }

    void statement_not_sent_yet_is_placed_by_new_settings()
    {
        regions_fixture f;
        const auto id = f.start("bounded");
        f.ask(id, f.make(statement_kind::set, "name", "value"));
        f.allow_route("bounded", {"east"});
        f.ask(id, f.make(statement_kind::read, "1"));
        f.open_last(); // its value is sent first
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.sent.size());
        f.allow_route("bounded", {"west"});
        f.expect_opened({"p"});
        f.open_last();
        f.succeed(); // the value
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
    }

    void open_transaction_ends_at_its_server_after_a_change()
    {
        regions_fixture f;
        const auto id = f.ask_at("own", statement_kind::begin);
        f.ask(id, f.make(statement_kind::write, "1"));
        f.open_last();
        f.succeed(transaction_state::open); // begin
        f.succeed(transaction_state::open);
        f.allow_workspace("w", {"east"});
        f.run(milliseconds(100));
        f.ask(id, f.make(statement_kind::commit));
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
        f.ask(id, f.make(statement_kind::write, "2"));
        f.expect_refused(id, "primary_outside_regions");
    }

    void position_is_asked_if_nothing_runs_at_the_primary()
    {
        regions_fixture f;
        f.allow_workspace("w", {"east"});
        f.run(milliseconds(2000)); // the known position is too old
        f.ask_at("bounded", statement_kind::read);
        CPPUNIT_ASSERT(f.transport.opened.empty());
        f.run(proxy::tick_interval);
        f.expect_opened({"p"});
        CPPUNIT_ASSERT_EQUAL(std::string("v"),
                             f.transport.opened.back().workspace);
        f.open_last(log_position{f.lead.term(), 200});
        f.run(proxy::tick_interval);
        f.expect_opened({"q", "r"});
        f.open_last();
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{200},
            f.transport.sent.back().statement.after.value().number);
        f.succeed();
        f.run(milliseconds(2000));
        const auto opened = f.transport.opened.size();
        f.ask_at("bounded", statement_kind::read);
        f.run(proxy::tick_interval); // by a new connection
        CPPUNIT_ASSERT_EQUAL(opened + 1, f.transport.opened.size());
        CPPUNIT_ASSERT_EQUAL(std::string("p"),
                             f.transport.opened.back().server);
        f.open_last(log_position{f.lead.term(), 300});
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{300},
            f.transport.sent.back().statement.after.value().number);
    }

    void probe_names_a_workspace_that_may_use_the_server()
    {
        regions_fixture f;
        f.allow_workspace("w", {"east"});
        f.allow_workspace("v", {"north"});
        f.run(milliseconds(2000));
        f.ask_at("bounded", statement_kind::read);
        f.run(proxy::tick_interval);
        f.expect_opened({"p"});
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             f.transport.opened.back().workspace);
    }

    void idle_connection_is_closed_if_its_workspace_may_not_use_it()
    {
        regions_fixture f;
        f.ask_at("primary", statement_kind::read);
        const auto connection = f.open_last();
        f.succeed();
        CPPUNIT_ASSERT(f.transport.closed.empty());
        f.allow_workspace("w", {"east"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.closed.size());
        CPPUNIT_ASSERT_EQUAL(connection, f.transport.closed.back());
    }

    void restricted_session_whose_route_is_gone_is_sent_nowhere()
    {
        regions_fixture f;
        f.allow_route("bounded", {"east"});
        const auto id = f.ask_at("bounded", statement_kind::read);
        const auto connection = f.open_last();
        f.settings.routes.erase("bounded");
        f.change_settings();
        const auto opened = f.transport.opened.size();
        f.subject.connection_lost(f.now, connection);
        f.expect_refused(id, "no_server_in_regions");
        CPPUNIT_ASSERT_EQUAL(opened, f.transport.opened.size());
    }

    void unknown_region_is_logged_once()
    {
        regions_fixture f;
        const auto count = [&f]
        {
            return std::count_if(
                f.lines.lines.begin(), f.lines.lines.end(),
                [](const auto& line)
                { return line.at("event") == "region_unknown"; });
        };
        f.allow_route("own", {"east", "north"});
        f.allow_workspace("w", {"north"});
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_region_changes_test);

} // namespace tanagerhoist

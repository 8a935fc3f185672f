#include "proxy_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace tanagerhoist
{
namespace
{

constexpr milliseconds grace{6000};
constexpr milliseconds route_timeout{3000};

/// A proxy that is asked to stop; its routes allow a statement 3 s.
class leaving_proxy : public proxy_fixture
{
public:
    leaving_proxy() : schedule(now, grace)
    {
        for (auto& [database, route] : settings.routes)
        {
            route.statement_timeout = route_timeout;
        }
        settings.version = 2;
        use_settings();
        schedule = drain_schedule(now, grace);
    }

    void leave() { subject.begin_drain(schedule); }

    /// Lets time pass up to `time` after the begin of the drain.
    void go_to(milliseconds time)
    {
        now = schedule.closes_idle() - balancer_detection_time + time;
        subject.renew_primary_lease(now);
        report_position(100);
    }

    void go_to_end()
    {
        now = schedule.leaves();
        subject.tick(now);
    }

    void pass_tick()
    {
        advance(proxy::tick_interval);
        subject.tick(now);
    }

    std::size_t answers(session_id id) const
    {
        const auto it = transport.answers.find(id);
        return it == transport.answers.end() ? 0 : it->second.size();
    }

    bool is_answered_with(session_id id, session_error error) const
    {
        return answers(id) != 0 && transport.last_answer(id).error == error;
    }

    /// A session whose statement a server runs.
    session_id run(const std::string& database, statement_kind kind)
    {
        const auto id = start(database);
        ask(id, make(kind, "1"));
        open_last(log_position{first_term, 100});
        CPPUNIT_ASSERT(!transport.sent.back().statement.query_id.empty());
        return id;
    }

    drain_schedule schedule;
};

} // namespace

/// What clients of a VM that leaves are told (LOST: a daemon that drained took
/// requests to the end and closed their connections while servers ran them).
class proxy_drain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_drain_test);
    CPPUNIT_TEST(running_read_gets_no_answer_at_the_end_of_the_drain);
    CPPUNIT_TEST(running_write_gets_no_answer_at_the_end_of_the_drain);
    CPPUNIT_TEST(open_transaction_gets_no_answer_at_the_end_of_the_drain);
    CPPUNIT_TEST(waiting_statement_gets_no_answer_at_the_end_of_the_drain);
    CPPUNIT_TEST(held_statement_gets_no_answer_at_the_end_of_the_drain);
    CPPUNIT_TEST(statement_without_time_left_is_sent_to_a_server);
    CPPUNIT_TEST(statement_with_time_left_is_refused);
    CPPUNIT_TEST(transaction_without_time_left_is_begun);
    CPPUNIT_TEST(queued_statement_is_sent_to_a_server_too_late);
    CPPUNIT_TEST(client_that_sends_after_the_end_gets_no_answer);
    CPPUNIT_TEST(session_that_comes_late_is_closed_before_its_statement);
    CPPUNIT_TEST(read_that_a_server_ran_is_called_not_run);
    CPPUNIT_TEST(drain_marks_servers_at_work_as_failing);
    CPPUNIT_TEST_SUITE_END();

public:
    void running_read_gets_no_answer_at_the_end_of_the_drain()
    {
        leaving_proxy f;
        f.leave();
        f.go_to(milliseconds(4000));
        const auto id = f.run("own", statement_kind::read);
        f.go_to_end();
        CPPUNIT_ASSERT(f.is_answered_with(id, session_error::failed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers(id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.ended.count(id));
    }

    void running_write_gets_no_answer_at_the_end_of_the_drain()
    {
        leaving_proxy f;
        f.go_to(milliseconds(-1000));
        const auto early = f.run("primary", statement_kind::write);
        f.leave();
        f.go_to(milliseconds(2500));
        const auto id = f.run("primary", statement_kind::write);
        f.go_to_end();
        CPPUNIT_ASSERT(f.is_answered_with(id, session_error::outcome_unknown));
        CPPUNIT_ASSERT(
            f.is_answered_with(early, session_error::outcome_unknown));
    }

    void open_transaction_gets_no_answer_at_the_end_of_the_drain()
    {
        leaving_proxy f;
        f.leave();
        f.go_to(milliseconds(2900));
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::begin));
        f.ask(id, f.make(statement_kind::write, "1"));
        f.open_last();
        f.succeed(transaction_state::open); // the begin
        f.go_to_end();
        CPPUNIT_ASSERT(f.is_answered_with(id, session_error::aborted));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.closed.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.ended.count(id));
    }

    void waiting_statement_gets_no_answer_at_the_end_of_the_drain()
    {
        leaving_proxy f;
        f.leave();
        f.go_to(milliseconds(4000));
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::write, "1")); // never connected
        f.go_to_end();
        CPPUNIT_ASSERT(f.is_answered_with(id, session_error::busy));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.transport.sent.size());
    }

    void held_statement_gets_no_answer_at_the_end_of_the_drain()
    {
        leaving_proxy f;
        f.settings.workspaces["w"] = {1, 1};
        f.settings.version = 3;
        f.use_settings();
        f.leave();
        f.go_to(milliseconds(4900));
        for (int i = 0; i < 20; ++i)
        {
            f.ask(f.start("own"), f.make(statement_kind::read, "1"));
        }
        f.go_to_end();
        for (session_id id = 1; id <= f.sessions; ++id)
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers(id));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.subject.sessions());
    }

    void statement_without_time_left_is_sent_to_a_server()
    {
        leaving_proxy f;
        f.leave();
        f.go_to(milliseconds(5050));
        const auto id = f.start("own");
        f.ask(id, f.make(statement_kind::read, "1"));
        CPPUNIT_ASSERT(f.is_answered_with(id, session_error::busy));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.transport.opened.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.ended.count(id));
    }

    void statement_with_time_left_is_refused()
    {
        leaving_proxy f;
        f.leave();
        f.go_to(milliseconds(4500));
        const auto id = f.run("own", statement_kind::read);
        f.advance(milliseconds(50));
        f.succeed();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.answers(id));
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
    }

    void transaction_without_time_left_is_begun()
    {
        leaving_proxy f;
        f.leave();
        f.go_to(milliseconds(3000));
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::begin));
        CPPUNIT_ASSERT(f.is_answered_with(id, session_error::busy));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.ended.count(id));
    }

    void queued_statement_is_sent_to_a_server_too_late()
    {
        leaving_proxy f;
        f.leave();
        f.go_to(milliseconds(4900));
        const auto id = f.start("primary");
        f.seal();
        f.ask(id, f.make(statement_kind::write, "1"));
        f.go_to(milliseconds(5050));
        f.promote("q");
        CPPUNIT_ASSERT(f.is_answered_with(id, session_error::busy));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.transport.opened.size());
    }

    void client_that_sends_after_the_end_gets_no_answer()
    {
        leaving_proxy f;
        f.leave();
        f.go_to(milliseconds(5090));
        const auto id = f.start("own");
        f.now = f.schedule.leaves() + milliseconds(200);
        f.ask(id, f.make(statement_kind::write, "1"));
        CPPUNIT_ASSERT(f.is_answered_with(id, session_error::busy));
        const auto late = f.start("own");
        CPPUNIT_ASSERT(f.transport.ended.at(late) == session_error::busy);
    }

    void session_that_comes_late_is_closed_before_its_statement()
    {
        leaving_proxy f;
        f.leave();
        f.go_to(milliseconds(3000));
        const auto id = f.start("own");
        f.pass_tick();
        f.ask(id, f.make(statement_kind::set, "name", "value"));
        f.pass_tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.transport.ended.count(id));
        f.ask(id, f.make(statement_kind::read, "1"));
        f.open_last(log_position{f.first_term, 100});
        f.succeed(); // the set
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.ended.count(id));
    }

    void read_that_a_server_ran_is_called_not_run()
    {
        leaving_proxy f;
        f.leave();
        f.go_to(milliseconds(4000));
        const auto id = f.run("own", statement_kind::read);
        f.fail(session_error::failed); // it is tried again
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.answers(id));
        f.go_to_end();
        CPPUNIT_ASSERT(f.is_answered_with(id, session_error::failed));
        CPPUNIT_ASSERT(f.transport.last_answer(id).text.find("not run") ==
                       std::string::npos);
    }

    void drain_marks_servers_at_work_as_failing()
    {
        leaving_proxy f;
        f.leave();
        f.go_to(milliseconds(4000));
        f.run("primary", statement_kind::write);
        f.go_to_end();
        CPPUNIT_ASSERT(!f.subject.server("p")->is_failing());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_drain_test);

} // namespace tanagerhoist

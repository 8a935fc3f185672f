#include "proxy_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class proxy_outcomes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_outcomes_test);
    CPPUNIT_TEST(write_whose_connection_is_lost_is_unknown);
    CPPUNIT_TEST(write_is_not_sent_twice_after_a_lost_answer);
    CPPUNIT_TEST(write_refused_as_not_run_is_sent_again);
    CPPUNIT_TEST(read_whose_connection_is_lost_is_sent_again);
    CPPUNIT_TEST(write_answered_after_a_promotion_is_not_acknowledged);
    CPPUNIT_TEST(write_answered_after_the_lease_expired_is_not_acknowledged);
    CPPUNIT_TEST(write_answered_long_after_a_seal_is_not_acknowledged);
    CPPUNIT_TEST(write_answered_after_the_lease_was_given_up_is_unknown);
    CPPUNIT_TEST(sealed_primary_gets_no_write);
    CPPUNIT_TEST(open_transaction_at_sealed_primary_is_rolled_back);
    CPPUNIT_TEST(seal_is_acknowledged_only_when_nothing_runs);
    CPPUNIT_TEST(statement_that_waits_too_long_says_not_run);
    CPPUNIT_TEST(statements_are_rejected_at_once_while_a_seal_must_wait);
    CPPUNIT_TEST(statement_waits_for_a_failover_that_ends_in_time);
    CPPUNIT_TEST(statements_are_rejected_at_once_at_a_dark_primary);
    CPPUNIT_TEST(transaction_that_can_not_begin_is_rolled_back);
    CPPUNIT_TEST(single_lost_connection_leaves_its_server_in_use);
    CPPUNIT_TEST(lost_connections_of_a_silent_server_are_reported);
    CPPUNIT_TEST(vm_without_lease_uses_no_primary);
    CPPUNIT_TEST(operation_that_did_not_run_does_not_count);
    CPPUNIT_TEST(operation_that_ran_counts);
    CPPUNIT_TEST(idle_transaction_is_rolled_back_at_its_limit);
    CPPUNIT_TEST(transaction_with_short_pauses_is_kept);
    CPPUNIT_TEST(statement_after_an_idle_end_is_told_aborted);
    CPPUNIT_TEST_SUITE_END();

    static session_id run_write(proxy_fixture& f)
    {
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::write, "1"));
        f.open_last();
        return id;
    }

    static session_id run_transaction(proxy_fixture& f)
    {
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::begin));
        f.ask(id, f.make(statement_kind::write, "1"));
        f.open_last();
        f.succeed(transaction_state::open);
        f.succeed(transaction_state::open);
        return id;
    }

public:
    /// Lowers the limit so that a few operations exhaust it.
    static void lower_limit(proxy_fixture& f)
    {
        f.settings.workspaces["w"] = {1, 0};
        ++f.settings.version;
        f.use_settings();
    }

    void operation_that_did_not_run_does_not_count()
    {
        proxy_fixture f;
        lower_limit(f);
        f.seal(); // no server accepts writes
        const auto id = f.start("primary");
        for (int i = 0; i < 100; ++i)
        {
            f.ask(id, f.make(statement_kind::write, "1"));
            f.advance(milliseconds(1000));
            f.subject.renew_primary_lease(f.now);
            f.subject.use_coordinator_contact(f.now);
            f.subject.tick(f.now);
            CPPUNIT_ASSERT_EQUAL(
                std::string("no primary in time, a failover is running, "
                            "not run"),
                f.transport.last_answer(id).text);
        }
    }

    void operation_that_ran_counts()
    {
        proxy_fixture f;
        lower_limit(f);
        const auto id = run_write(f);
        f.succeed();
        int admitted = 1;
        for (int i = 0; i < 100; ++i)
        {
            const auto opened = f.transport.opened.size();
            f.ask(id, f.make(statement_kind::write, "1"));
            if (f.transport.opened.size() != opened)
            {
                f.open_last(); // a write follows no error on its connection
            }
            if (!f.transport.sent.back().statement.query_id.empty() &&
                f.transport.answers[id].size() ==
                    static_cast<std::size_t>(i) + 1)
            {
                ++admitted;
                f.fail(session_error::failed);
            }
        }
        CPPUNIT_ASSERT(admitted < 50);
    }

    void idle_transaction_is_rolled_back_at_its_limit()
    {
        proxy_fixture f;
        run_transaction(f);
        f.advance(f.settings.transaction_idle);
        f.subject.renew_primary_lease(f.now);
        f.subject.tick(f.now);
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::rollback);
        f.succeed();
        const auto opened = f.transport.opened.size();
        const auto other = f.start("primary");
        f.ask(other, f.make(statement_kind::read, "2"));
        CPPUNIT_ASSERT_EQUAL(opened, f.transport.opened.size());
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(other).error);
    }

    void transaction_with_short_pauses_is_kept()
    {
        proxy_fixture f;
        const auto id = run_transaction(f);
        for (int i = 0; i < 3; ++i)
        {
            f.advance(f.settings.transaction_idle - milliseconds(1));
            f.subject.renew_primary_lease(f.now);
            f.subject.tick(f.now);
            f.ask(id, f.make(statement_kind::read, "1"));
            f.succeed(transaction_state::open);
            CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
        }
    }

    void statement_after_an_idle_end_is_told_aborted()
    {
        proxy_fixture f;
        const auto id = run_transaction(f);
        f.advance(f.settings.transaction_idle);
        f.subject.renew_primary_lease(f.now);
        f.subject.tick(f.now);
        const auto sent = f.transport.sent.size();
        f.ask(id, f.make(statement_kind::commit));
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::aborted);
        CPPUNIT_ASSERT(f.transport.last_answer(id).state ==
                       transaction_state::none);
        CPPUNIT_ASSERT_EQUAL(sent, f.transport.sent.size());
    }

    void write_whose_connection_is_lost_is_unknown()
    {
        proxy_fixture f;
        const auto id = run_write(f);
        f.subject.connection_lost(f.now, f.transport.sent.back().connection);
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::outcome_unknown);
    }

    void write_is_not_sent_twice_after_a_lost_answer()
    {
        proxy_fixture f;
        run_write(f);
        const auto sent = f.transport.sent.size();
        f.subject.connection_lost(f.now, f.transport.sent.back().connection);
        f.advance(milliseconds(500));
        f.subject.tick(f.now);
        CPPUNIT_ASSERT_EQUAL(sent, f.transport.sent.size());
    }

    void write_refused_as_not_run_is_sent_again()
    {
        proxy_fixture f;
        const auto id = run_write(f);
        const auto refused = f.transport.sent.back().connection;
        f.fail(session_error::busy);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.transport.answers.count(id));
        f.advance(milliseconds(100));
        f.subject.tick(f.now);
        f.open_last();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.transport.sent.size());
        CPPUNIT_ASSERT(f.transport.sent.back().connection != refused);
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
    }

    void read_whose_connection_is_lost_is_sent_again()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::read, "1"));
        f.open_last();
        f.subject.connection_lost(f.now, f.transport.sent.back().connection);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.transport.answers.count(id));
        f.advance(milliseconds(200));
        f.subject.tick(f.now);
        f.open_last();
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
    }

    void write_answered_after_a_promotion_is_not_acknowledged()
    {
        proxy_fixture f;
        const auto id = run_write(f);
        const auto connection = f.transport.sent.back().connection;
        f.promote("q");
        f.subject.server_complete(f.now, connection, f.next_signature());
        f.subject.server_ready(f.now, connection, transaction_state::none,
                               log_position{3, 101});
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::outcome_unknown);
    }

    void write_answered_after_the_lease_expired_is_not_acknowledged()
    {
        proxy_fixture f;
        const auto id = run_write(f);
        f.advance(primary_lease_duration); // as if the VM had been paused
        f.succeed();
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::outcome_unknown);
    }

    /// The loop runs late, so that no tick has aborted the write.
    void write_answered_long_after_a_seal_is_not_acknowledged()
    {
        proxy_fixture f;
        const auto id = run_write(f);
        f.seal();
        f.advance(milliseconds(600));
        f.succeed();
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::outcome_unknown);
    }

    /// The VM stops; its row is about to be removed.
    void write_answered_after_the_lease_was_given_up_is_unknown()
    {
        proxy_fixture f;
        const auto id = run_write(f);
        f.subject.end_primary_lease();
        f.subject.renew_primary_lease(f.now + milliseconds(1));
        f.succeed();
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::outcome_unknown);
    }

    void sealed_primary_gets_no_write()
    {
        proxy_fixture f;
        f.seal();
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::write, "1"));
        CPPUNIT_ASSERT(f.transport.opened.empty());
        f.promote("q");
        CPPUNIT_ASSERT_EQUAL(std::string("q"),
                             f.transport.opened.back().server);
        f.open_last();
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
    }

    void open_transaction_at_sealed_primary_is_rolled_back()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::begin));
        f.ask(id, f.make(statement_kind::write, "1"));
        f.open_last();
        f.succeed(transaction_state::open);
        f.succeed(transaction_state::open);
        f.seal();
        f.ask(id, f.make(statement_kind::commit));
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::aborted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.closed.size());
    }

    void seal_is_acknowledged_only_when_nothing_runs()
    {
        proxy_fixture f;
        const auto id = run_write(f);
        f.seal();
        proto::VmReport before;
        f.subject.describe(f.now, before);
        CPPUNIT_ASSERT_EQUAL(0, before.sealed_size());
        f.advance(milliseconds(200));
        f.subject.tick(f.now);
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::outcome_unknown);
        proto::VmReport after;
        f.subject.describe(f.now, after);
        CPPUNIT_ASSERT_EQUAL(1, after.sealed_size());
        CPPUNIT_ASSERT_EQUAL(f.lead.epoch(), after.sealed(0).epoch());
    }

    void statement_that_waits_too_long_says_not_run()
    {
        proxy_fixture f;
        f.seal();
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::write, "1"));
        f.advance(milliseconds(1000));
        f.subject.tick(f.now);
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::busy);
        CPPUNIT_ASSERT(f.transport.sent.empty());
    }

    static void report_seal_wait(proxy_fixture& f, milliseconds wait)
    {
        proto::SealWait told;
        told.set_group("g");
        told.set_wait_ms(to_ms(wait));
        f.subject.use_seal_wait(f.now, told);
    }

    /// Load pattern: a VM died with a lease of 10 s left when the primary was
    /// replaced; writes arrive all the time. None is held in vain, also not
    /// those that came before the wait was known.
    void statements_are_rejected_at_once_while_a_seal_must_wait()
    {
        proxy_fixture f;
        f.seal();
        const auto early = f.start("primary");
        f.ask(early, f.make(statement_kind::write, "1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.transport.answers.count(early));
        report_seal_wait(f, milliseconds(10000));
        CPPUNIT_ASSERT(f.transport.last_answer(early).error ==
                       session_error::busy);
        const auto id = f.start("primary");
        for (milliseconds left{9600}; left > milliseconds(1000);
             left -= milliseconds(400))
        {
            f.advance(milliseconds(400));
            report_seal_wait(f, left);
            f.ask(id, f.make(statement_kind::write, "1"));
            CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                           session_error::busy);
        }
        CPPUNIT_ASSERT(f.transport.sent.empty());
        CPPUNIT_ASSERT(f.transport.opened.empty());
    }

    void statement_waits_for_a_failover_that_ends_in_time()
    {
        proxy_fixture f;
        f.seal();
        report_seal_wait(f, milliseconds(300));
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::write, "1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.transport.answers.count(id));
        f.advance(milliseconds(900));
        f.promote("q");
        f.open_last();
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
    }

    /// Load pattern: the primary goes dark while the store is unreachable, so
    /// that no failover can begin; statements arrive all the time.
    void statements_are_rejected_at_once_at_a_dark_primary()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        std::size_t held = 0;
        for (milliseconds passed{0}; passed < milliseconds(8000);
             passed += milliseconds(50))
        {
            f.advance(milliseconds(50));
            f.subject.renew_primary_lease(f.now);
            f.subject.tick(f.now);
            const auto& answers = f.transport.answers[id];
            const auto before = answers.size();
            f.ask(id, f.make(statement_kind::write, "1"));
            const bool at_once = answers.size() > before;
            held += passed >= milliseconds(4000) && !at_once ? 1 : 0;
            if (!at_once)
            {
                f.subject.session_closed(f.now, id);
                f.subject.start_session(f.now, id, "primary", "key-w");
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held);
        CPPUNIT_ASSERT(f.transport.sent.empty());
    }

    void transaction_that_can_not_begin_is_rolled_back()
    {
        proxy_fixture f;
        f.seal();
        report_seal_wait(f, milliseconds(10000));
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::begin));
        f.ask(id, f.make(statement_kind::write, "1"));
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::busy);
        f.ask(id, f.make(statement_kind::rollback));
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
        CPPUNIT_ASSERT(f.transport.last_answer(id).state ==
                       transaction_state::none);
    }

    void single_lost_connection_leaves_its_server_in_use()
    {
        proxy_fixture f;
        run_write(f);
        f.subject.connection_lost(f.now, f.transport.sent.back().connection);
        CPPUNIT_ASSERT(!f.subject.server("p")->is_failing());
    }

    void lost_connections_of_a_silent_server_are_reported()
    {
        proxy_fixture f;
        run_write(f);
        f.advance(milliseconds(400));
        f.subject.connection_lost(f.now, f.transport.sent.back().connection);
        CPPUNIT_ASSERT(f.subject.server("p")->is_failing());
        f.advance(milliseconds(300));
        proto::VmReport report;
        f.subject.describe(f.now, report);
        CPPUNIT_ASSERT_EQUAL(1, report.unreachable_size());
        CPPUNIT_ASSERT_EQUAL(std::string("p"), report.unreachable(0));
    }

    void vm_without_lease_uses_no_primary()
    {
        proxy_fixture f;
        f.advance(primary_lease_duration);
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::read, "1"));
        CPPUNIT_ASSERT(f.transport.opened.empty());
        CPPUNIT_ASSERT(!f.subject.is_ready(f.now));
        f.subject.renew_primary_lease(f.now);
        f.subject.tick(f.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.opened.size());
        static_cast<void>(id);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_outcomes_test);

} // namespace tanagerhoist

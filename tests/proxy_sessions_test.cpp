#include "proxy_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace tanagerhoist
{

namespace
{

constexpr std::size_t large_size = std::size_t{1} << 20U; // bytes
constexpr std::size_t small_size = 1024;                  // bytes

std::string large_text()
{
    return std::string(large_size, 'x');
}

} // namespace

class proxy_sessions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_sessions_test);
    CPPUNIT_TEST(session_with_unknown_database_is_refused);
    CPPUNIT_TEST(session_with_unknown_key_is_refused);
    CPPUNIT_TEST(idle_session_ends_when_its_key_is_taken_away);
    CPPUNIT_TEST(running_session_ends_after_its_answer_when_key_goes);
    CPPUNIT_TEST(older_settings_are_not_taken);
    CPPUNIT_TEST(execute_of_unknown_name_is_refused);
    CPPUNIT_TEST(values_are_set_at_the_server_before_the_statement);
    CPPUNIT_TEST(connection_with_foreign_values_is_reset);
    CPPUNIT_TEST(prepared_shape_is_sent_once_and_shared);
    CPPUNIT_TEST(idle_session_holds_a_large_text_once);
    CPPUNIT_TEST(state_is_charged_for_its_copies_and_freed_with_its_name);
    CPPUNIT_TEST(connection_is_not_shared_between_workspaces);
    CPPUNIT_TEST(failed_transaction_accepts_only_its_end);
    CPPUNIT_TEST(commit_of_failed_transaction_says_rolled_back);
    CPPUNIT_TEST(empty_transaction_commits_at_a_server);
    CPPUNIT_TEST(client_gone_in_transaction_rolls_back);
    CPPUNIT_TEST(isolated_vm_is_not_ready);
    CPPUNIT_TEST(isolated_vm_moves_its_idle_sessions);
    CPPUNIT_TEST(vm_of_a_small_fleet_stays_ready_without_coordinator);
    CPPUNIT_TEST(held_statements_are_asked_of_the_next_coordinator);
    CPPUNIT_TEST(statement_over_rate_is_refused_at_once);
    CPPUNIT_TEST(refused_clients_are_told_different_times);
    CPPUNIT_TEST(draining_ends_idle_sessions_only_after_the_balancer);
    CPPUNIT_TEST_SUITE_END();

public:
    void session_with_unknown_database_is_refused()
    {
        proxy_fixture f;
        const auto id = f.start("nowhere");
        CPPUNIT_ASSERT(f.transport.ended.at(id) == session_error::no_database);
        CPPUNIT_ASSERT(f.transport.accepted.empty());
    }

    void session_with_unknown_key_is_refused()
    {
        proxy_fixture f;
        const auto id = f.start("primary", "no such key");
        CPPUNIT_ASSERT(f.transport.ended.at(id) == session_error::no_key);
    }

    void idle_session_ends_when_its_key_is_taken_away()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.settings.keys.erase("key-w");
        f.settings.version = 2;
        f.use_settings();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.ended.count(id));
    }

    void running_session_ends_after_its_answer_when_key_goes()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::read, "1"));
        f.open_last();
        f.settings.keys.erase("key-w");
        f.settings.version = 2;
        f.use_settings();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.transport.ended.count(id));
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.ended.count(id));
    }

    void older_settings_are_not_taken()
    {
        proxy_fixture f;
        f.settings.version = 5;
        f.use_settings();
        f.settings.version = 4;
        f.settings.routes.clear();
        f.use_settings();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, f.subject.settings()->version);
        CPPUNIT_ASSERT(f.subject.settings()->route("primary") != nullptr);
    }

    void execute_of_unknown_name_is_refused()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::execute, "s1", "1"));
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::no_statement);
    }

    void values_are_set_at_the_server_before_the_statement()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::set, "colour", "red"));
        CPPUNIT_ASSERT_EQUAL(std::string("-"),
                             f.transport.last_answer(id).signature);
        f.ask(id, f.make(statement_kind::read, "1"));
        f.open_last();
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::set);
        CPPUNIT_ASSERT(f.transport.sent.back().statement.query_id.empty());
        f.succeed();
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::read);
    }

    void connection_with_foreign_values_is_reset()
    {
        proxy_fixture f;
        const auto first = f.start("primary");
        f.ask(first, f.make(statement_kind::set, "colour", "red"));
        f.ask(first, f.make(statement_kind::read, "1"));
        f.open_last();
        f.succeed();
        f.succeed();
        const auto second = f.start("primary");
        f.ask(second, f.make(statement_kind::read, "2"));
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::reset);
        f.succeed();
        CPPUNIT_ASSERT_EQUAL(std::string("2"),
                             f.transport.sent.back().statement.what.name);
    }

    void prepared_shape_is_sent_once_and_shared()
    {
        proxy_fixture f;
        const auto first = f.start("primary");
        f.ask(first, f.make(statement_kind::prepare, "mine", "shape"));
        f.ask(first, f.make(statement_kind::execute, "mine", "1"));
        f.open_last();
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::prepare);
        f.succeed();
        const auto name = f.transport.sent.back().statement.what.name;
        f.succeed();
        const auto second = f.start("primary");
        f.ask(second, f.make(statement_kind::prepare, "other", "shape"));
        f.ask(second, f.make(statement_kind::execute, "other", "2"));
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::execute);
        CPPUNIT_ASSERT_EQUAL(name, f.transport.sent.back().statement.what.name);
    }

    /// Many sessions that each prepare the largest message and rest.
    void idle_session_holds_a_large_text_once()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        auto what = f.make(statement_kind::prepare, "a", large_text());
        what.text = large_text();
        f.ask(id, what);
        CPPUNIT_ASSERT(f.subject.activity_of(id) == client_activity::idle);
        CPPUNIT_ASSERT(f.subject.held_by(id).statement < small_size);
    }

    void state_is_charged_for_its_copies_and_freed_with_its_name()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::prepare, "a", large_text()));
        f.ask(id, f.make(statement_kind::prepare, "a", large_text()));
        const auto held = f.subject.held_by(id).state;
        CPPUNIT_ASSERT(held >= 3 * large_size);
        CPPUNIT_ASSERT(held < 3 * (large_size + small_size));
        f.ask(id, f.make(statement_kind::deallocate, "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.subject.held_by(id).state);
    }

    void connection_is_not_shared_between_workspaces()
    {
        proxy_fixture f;
        const auto first = f.start("primary", "key-w");
        f.ask(first, f.make(statement_kind::read, "1"));
        f.open_last();
        f.succeed();
        const auto second = f.start("primary", "key-v");
        f.ask(second, f.make(statement_kind::read, "2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.transport.opened.size());
        CPPUNIT_ASSERT_EQUAL(std::string("v"),
                             f.transport.opened.back().workspace);
    }

    void failed_transaction_accepts_only_its_end()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::begin));
        f.ask(id, f.make(statement_kind::read, "1"));
        f.open_last();
        f.succeed(transaction_state::open); // BEGIN added by the proxy
        f.succeed(transaction_state::open);
        f.ask(id, f.make(statement_kind::write, "1"));
        f.fail(session_error::failed, transaction_state::failed);
        CPPUNIT_ASSERT(f.transport.last_answer(id).state ==
                       transaction_state::failed);
        f.ask(id, f.make(statement_kind::read, "2"));
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::malformed);
        f.ask(id, f.make(statement_kind::rollback));
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
        CPPUNIT_ASSERT(f.transport.last_answer(id).state ==
                       transaction_state::none);
    }

    void commit_of_failed_transaction_says_rolled_back()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::begin));
        f.ask(id, f.make(statement_kind::write, "1"));
        f.open_last();
        f.succeed(transaction_state::open);
        f.succeed(transaction_state::open);
        f.subject.connection_lost(f.now, f.transport.sent.back().connection);
        f.ask(id, f.make(statement_kind::commit));
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::aborted);
        CPPUNIT_ASSERT(f.transport.last_answer(id).state ==
                       transaction_state::none);
    }

    void empty_transaction_commits_at_a_server()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::begin));
        f.ask(id, f.make(statement_kind::commit));
        f.open_last();
        f.succeed(transaction_state::open);
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::commit);
        f.succeed();
        CPPUNIT_ASSERT_EQUAL(std::string("signature1"),
                             f.transport.last_answer(id).signature);
    }

    void client_gone_in_transaction_rolls_back()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::begin));
        f.ask(id, f.make(statement_kind::write, "1"));
        f.open_last();
        f.succeed(transaction_state::open);
        f.succeed(transaction_state::open);
        f.subject.session_closed(f.now, id);
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::rollback);
    }

    /// VMs that were cut off refused nearly all, and the balancer went on
    /// sending them clients.
    void isolated_vm_is_not_ready()
    {
        proxy_fixture f;
        f.subject.use_members(f.now, 195);
        CPPUNIT_ASSERT(f.subject.is_ready(f.now)); // has just started
        f.subject.use_coordinator_contact(f.now);
        f.advance(milliseconds(4400)); // a change of the coordinator
        CPPUNIT_ASSERT(f.subject.is_ready(f.now));
        f.advance(milliseconds(200));
        CPPUNIT_ASSERT(!f.subject.is_ready(f.now));
        f.subject.use_coordinator_contact(f.now);
        CPPUNIT_ASSERT(f.subject.is_ready(f.now));
    }

    void isolated_vm_moves_its_idle_sessions()
    {
        proxy_fixture f;
        f.subject.use_members(f.now, 195);
        f.subject.use_coordinator_contact(f.now);
        for (int i = 0; i < 60; ++i)
        {
            f.start("primary");
        }
        const auto run = [&f](milliseconds time)
        {
            for (milliseconds passed{0}; passed < time;
                 passed += proxy::tick_interval)
            {
                f.advance(proxy::tick_interval);
                f.subject.tick(f.now);
            }
        };
        run(milliseconds(6700)); // the balancer still sends clients
        CPPUNIT_ASSERT(f.transport.ended.empty());
        run(milliseconds(300));
        CPPUNIT_ASSERT(!f.transport.ended.empty());
        CPPUNIT_ASSERT(f.transport.ended.size() < 20); // not all at once
        const auto late = f.start("primary"); // the balancer has nobody better
        run(std::chrono::seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{60}, f.transport.ended.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.transport.ended.count(late));
    }

    void vm_of_a_small_fleet_stays_ready_without_coordinator()
    {
        proxy_fixture f;
        f.subject.use_members(f.now, 7);
        f.subject.use_coordinator_contact(f.now);
        f.advance(std::chrono::seconds(9));
        CPPUNIT_ASSERT(f.subject.is_ready(f.now));
    }

    /// What was asked of a coordinator that has been killed was not asked
    /// again: statements waited in vain and were refused.
    void held_statements_are_asked_of_the_next_coordinator()
    {
        proxy_fixture f;
        f.subject.use_members(f.now, 195);
        f.subject.use_grants(f.now, {}); // there is a coordinator
        for (int i = 0; i < 3; ++i)
        {
            f.ask(f.start("primary"), f.make(statement_kind::begin));
        }
        const auto asked = [&f]
        {
            proto::VmReport report;
            f.subject.describe(f.now, report);
            std::uint64_t missing = 0;
            for (const auto& demand : report.demand())
            {
                missing += demand.missing();
            }
            return missing;
        };
        const auto held = f.subject.held();
        CPPUNIT_ASSERT(held >= 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{held}, asked());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, asked());
        f.subject.use_new_coordinator();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{held}, asked());
    }

    void statement_over_rate_is_refused_at_once()
    {
        proxy_fixture f;
        f.settings.version = 2;
        f.settings.workspaces["w"] = {1, 1};
        f.use_settings();
        const auto id = f.start("primary");
        std::size_t refused = 0;
        for (int i = 0; i < 60; ++i)
        {
            f.ask(id, f.make(statement_kind::begin));
            refused += f.transport.last_answer(id).error ? 1 : 0;
            f.ask(id, f.make(statement_kind::rollback));
        }
        CPPUNIT_ASSERT(refused > 30);
        CPPUNIT_ASSERT(f.transport.last_answer(id).state ==
                       transaction_state::none);
    }

    void refused_clients_are_told_different_times()
    {
        proxy_fixture f;
        f.subject.use_members(f.now, 195); // no even share, no coordinator
        std::set<std::string> texts;
        for (int i = 0; i < 40; ++i)
        {
            const auto id = f.start("primary");
            f.ask(id, f.make(statement_kind::begin));
            const auto& answer = f.transport.last_answer(id);
            if (answer.error)
            {
                CPPUNIT_ASSERT(*answer.error == session_error::busy);
                CPPUNIT_ASSERT_EQUAL(
                    std::string("no coordinator grants operations, not run"),
                    answer.text.substr(0, answer.text.rfind(',')));
                texts.insert(answer.text);
            }
        }
        CPPUNIT_ASSERT(texts.size() >= 20);
    }

    void draining_ends_idle_sessions_only_after_the_balancer()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.subject.begin_drain(drain_schedule(f.now, milliseconds(6000)));
        f.subject.tick(f.now);
        CPPUNIT_ASSERT(!f.subject.is_ready(f.now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.transport.ended.count(id));
        f.advance(milliseconds(2300));
        f.subject.tick(f.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.ended.count(id));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_sessions_test);

} // namespace tanagerhoist

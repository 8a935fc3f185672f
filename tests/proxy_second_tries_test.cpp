#include "proxy_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace tanagerhoist
{

/// Reads that wait at a server that no longer answers.
class proxy_second_tries_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_second_tries_test);
    CPPUNIT_TEST(read_at_a_silent_server_is_served_elsewhere);
    CPPUNIT_TEST(read_of_a_rarely_used_database_is_served_elsewhere);
    CPPUNIT_TEST(read_at_a_server_that_answers_others_waits_longer);
    CPPUNIT_TEST(read_only_transaction_begins_again_elsewhere);
    CPPUNIT_TEST(later_statement_of_a_transaction_stays);
    CPPUNIT_TEST(write_stays_at_its_silent_server);
    CPPUNIT_TEST(second_server_is_not_left);
    CPPUNIT_TEST(overload_of_all_servers_moves_few_reads);
    CPPUNIT_TEST(next_read_passes_the_silent_server_over);
    CPPUNIT_TEST_SUITE_END();

    /// Makes replica q the nearest server, and has it answer enough reads for
    /// usual times to be known.
    static void observe_usual_answers(proxy_fixture& f)
    {
        f.servers["p"].data_centre = "c";
        f.servers["q"].data_centre = "a";
        f.subject.use_servers(f.now, f.servers);
        const auto id = f.start("bounded");
        for (int i = 0; i < 40; ++i)
        {
            f.report_position(50);
            f.ask(id, f.make(statement_kind::read, "1"));
            if (f.transport.sent.empty())
            {
                f.open_last();
            }
            f.advance(milliseconds(20));
            f.succeed();
        }
        f.report_position(50);
    }

    static void run_for(proxy_fixture& f, milliseconds time)
    {
        for (milliseconds passed{0}; passed < time;
             passed += proxy::tick_interval)
        {
            f.advance(proxy::tick_interval);
            f.subject.renew_primary_lease(f.now);
            f.subject.tick(f.now);
        }
    }

    static std::size_t closed(const proxy_fixture& f, connection_id connection)
    {
        const auto& all = f.transport.closed;
        return static_cast<std::size_t>(
            std::count(all.begin(), all.end(), connection));
    }

public:
    void read_at_a_silent_server_is_served_elsewhere()
    {
        proxy_fixture f;
        observe_usual_answers(f);
        const auto id = f.start("bounded");
        f.ask(id, f.make(statement_kind::read, "1"));
        const auto first = f.transport.sent.back().connection;
        run_for(f, milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed(f, first));
        CPPUNIT_ASSERT(f.transport.opened.back().server != "q");
        f.open_last();
        f.succeed();
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             f.subject.figures().second_tries);
    }

    /// Load pattern: a VM of 82 has an answer in three seconds from each of 24
    /// databases.
    void read_of_a_rarely_used_database_is_served_elsewhere()
    {
        proxy_fixture f;
        f.settings.version = 2;
        f.add_route("rare", read_consistency::bounded_staleness, 1500);
        f.use_settings();
        observe_usual_answers(f);
        f.ask(f.start("rare"), f.make(statement_kind::read, "1"));
        const auto first = f.transport.sent.back().connection;
        run_for(f, milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed(f, first));
        CPPUNIT_ASSERT(f.transport.opened.back().server != "q");
    }

    void read_at_a_server_that_answers_others_waits_longer()
    {
        proxy_fixture f;
        observe_usual_answers(f);
        f.ask(f.start("bounded"), f.make(statement_kind::read, "1"));
        const auto first = f.transport.sent.back().connection;
        const auto other = f.start("bounded");
        f.ask(other, f.make(statement_kind::read, "2"));
        const auto second = f.open_last();
        const auto answer_other = [&]
        {
            f.subject.server_complete(f.now, second, f.next_signature());
            f.subject.server_ready(f.now, second, transaction_state::none,
                                   log_position{f.lead.term(), 100});
            f.ask(other, f.make(statement_kind::read, "2"));
        };
        for (int i = 0; i < 5; ++i)
        {
            run_for(f, milliseconds(50));
            answer_other();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, closed(f, first));
        for (int i = 0; i < 8; ++i)
        {
            run_for(f, milliseconds(50));
            answer_other();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, closed(f, first));
    }

    void read_only_transaction_begins_again_elsewhere()
    {
        proxy_fixture f;
        observe_usual_answers(f);
        const auto id = f.start("bounded");
        f.ask(id, f.make(statement_kind::begin_read));
        f.ask(id, f.make(statement_kind::read, "1"));
        run_for(f, milliseconds(400));
        CPPUNIT_ASSERT(f.transport.opened.back().server != "q");
        f.open_last();
        CPPUNIT_ASSERT(f.transport.sent.back().statement.what.kind ==
                       statement_kind::begin_read);
        f.succeed(transaction_state::open);
        f.succeed(transaction_state::open);
        CPPUNIT_ASSERT(!f.transport.last_answer(id).error);
    }

    void later_statement_of_a_transaction_stays()
    {
        proxy_fixture f;
        observe_usual_answers(f);
        const auto id = f.start("bounded");
        f.ask(id, f.make(statement_kind::begin_read));
        f.ask(id, f.make(statement_kind::read, "1"));
        f.succeed(transaction_state::open);
        f.succeed(transaction_state::open);
        f.ask(id, f.make(statement_kind::read, "2"));
        const auto pinned = f.transport.sent.back().connection;
        run_for(f, milliseconds(800));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, closed(f, pinned));
    }

    void write_stays_at_its_silent_server()
    {
        proxy_fixture f;
        const auto id = f.start("own");
        for (int i = 0; i < 40; ++i)
        {
            f.ask(id, f.make(statement_kind::write, "1"));
            if (f.transport.sent.empty())
            {
                f.open_last();
            }
            f.advance(milliseconds(20));
            f.succeed();
        }
        f.report_position(100);
        f.ask(id, f.make(statement_kind::write, "1"));
        const auto writing = f.transport.sent.back().connection;
        run_for(f, milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, closed(f, writing));
    }

    void second_server_is_not_left()
    {
        proxy_fixture f;
        observe_usual_answers(f);
        const auto id = f.start("bounded");
        f.ask(id, f.make(statement_kind::read, "1"));
        run_for(f, milliseconds(300));
        const auto second = f.open_last();
        run_for(f, milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, closed(f, second));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             f.subject.figures().second_tries);
    }

    /// Load pattern: every server stops answering; each waiting read would
    /// otherwise be sent twice.
    void overload_of_all_servers_moves_few_reads()
    {
        proxy_fixture f;
        f.settings.version = 2;
        f.settings.groups["g"] = {500, 0};
        f.use_settings();
        for (auto& [id, server] : f.servers)
        {
            server.slots = 50;
        }
        observe_usual_answers(f);
        std::size_t opened = f.transport.opened.size();
        for (int round = 0; round < 40; ++round)
        {
            f.report_position(50);
            f.ask(f.start("bounded"), f.make(statement_kind::read, "1"));
            for (; opened < f.transport.opened.size(); ++opened)
            {
                f.subject.connection_opened(
                    f.now, f.transport.opened[opened].id, std::nullopt);
            }
            run_for(f, milliseconds(50));
        }
        CPPUNIT_ASSERT(f.subject.figures().second_tries > 0);
        CPPUNIT_ASSERT(f.subject.figures().second_tries <= 8);
    }

    void next_read_passes_the_silent_server_over()
    {
        proxy_fixture f;
        observe_usual_answers(f);
        f.ask(f.start("bounded"), f.make(statement_kind::read, "1"));
        run_for(f, milliseconds(300));
        f.open_last();
        f.succeed();
        f.ask(f.start("bounded"), f.make(statement_kind::read, "2"));
        const auto used = f.transport.sent.back().connection;
        const auto& opened = f.transport.opened;
        const auto at = std::find_if(opened.begin(), opened.end(),
                                     [used](const auto& connection)
                                     { return connection.id == used; });
        CPPUNIT_ASSERT(at != opened.end());
        CPPUNIT_ASSERT(at->server != "q");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_second_tries_test);

} // namespace tanagerhoist

#include "proxy_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Calls of a proxy that walk several sessions, connections or servers, each of
/// which may end or place others.
class proxy_passes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_passes_test);
    CPPUNIT_TEST(removed_route_with_waiting_reads_ends_the_process);
    CPPUNIT_TEST(expired_statement_is_refused_twice);
    CPPUNIT_TEST(connection_is_opened_to_a_server_being_removed);
    CPPUNIT_TEST(removed_server_with_spare_connections_ends_the_process);
    CPPUNIT_TEST(unsolicited_answer_in_a_transaction_ends_the_process);
    CPPUNIT_TEST_SUITE_END();

    /// Sessions whose reads use up or wait for the replicas.
    static std::vector<session_id> load_replicas(proxy_fixture& f)
    {
        for (auto& [id, server] : f.servers)
        {
            server.slots = 1;
        }
        f.subject.use_servers(f.now, f.servers);
        f.report_position(100);
        std::vector<session_id> readers;
        for (int i = 0; i < 10; ++i)
        {
            readers.push_back(f.start("bounded"));
            f.ask(readers.back(), f.make(statement_kind::read));
        }
        return readers;
    }

    static void wait_for_silent_vm(proxy_fixture& f)
    {
        proto::SealWait wait;
        wait.set_group("g");
        wait.set_wait_ms(5000);
        f.subject.use_seal_wait(f.now, wait);
    }

    /// Leaves only server q for reads.
    static void use_only_replica_q(proxy_fixture& f)
    {
        f.servers.erase("r");
        f.servers.at("p").draining = true;
        f.subject.use_servers(f.now, f.servers);
        f.report_position(100);
        f.seal();
    }

public:
    void removed_route_with_waiting_reads_ends_the_process()
    {
        proxy_fixture f;
        const auto readers = load_replicas(f);
        f.seal();
        wait_for_silent_vm(f);
        CPPUNIT_ASSERT(f.subject.waiting() > 1);
        f.settings.routes.erase("bounded");
        f.settings.version = 2;
        f.use_settings();
        CPPUNIT_ASSERT_EQUAL(readers.size(), f.transport.answers.size());
        for (const auto id : readers)
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                 f.transport.answers.at(id).size());
            CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                           session_error::no_key);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.ended.count(id));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.subject.sessions());
    }

    void expired_statement_is_refused_twice()
    {
        proxy_fixture f;
        f.advance(primary_lease_duration);
        // A transaction comes before a single write in any order of sessions.
        const auto first = f.start("primary");
        const auto single = f.start("primary");
        const auto last = f.start("primary");
        f.ask(first, f.make(statement_kind::begin));
        f.ask(last, f.make(statement_kind::begin));
        for (const auto id : {first, single, last})
        {
            f.ask(id, f.make(statement_kind::write));
        }
        f.subject.begin_drain(drain_schedule(f.now, milliseconds(6000)));
        f.advance(milliseconds(1000));
        f.subject.tick(f.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.transport.answers[first].size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             f.transport.answers[single].size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.transport.answers[last].size());
    }

    void connection_is_opened_to_a_server_being_removed()
    {
        proxy_fixture f;
        use_only_replica_q(f);
        f.ask(f.start("bounded"), f.make(statement_kind::read));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.opened.size());
        const auto connection = f.open_last();
        const auto opened = f.transport.opened.size();
        const auto q = f.servers.extract("q");
        f.subject.use_servers(f.now, f.servers);
        CPPUNIT_ASSERT_EQUAL(opened, f.transport.opened.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.closed.size());
        CPPUNIT_ASSERT_EQUAL(connection, f.transport.closed.back());
        f.servers["q"] = q.mapped();
        f.subject.use_servers(f.now, f.servers);
        CPPUNIT_ASSERT_EQUAL(1U, f.subject.server("q")->connections);
    }

    void removed_server_with_spare_connections_ends_the_process()
    {
        proxy_fixture f;
        use_only_replica_q(f);
        // Idle connections are before and after the running one in any order.
        for (int i = 0; i < 3; ++i)
        {
            f.ask(f.start("bounded", i == 1 ? "key-w" : "key-v"),
                  f.make(statement_kind::read));
        }
        for (const auto& connection : std::vector(f.transport.opened))
        {
            f.subject.connection_opened(f.now, connection.id, {});
        }
        for (const auto number : {0, 2})
        {
            const auto id = f.transport.opened.at(number).id;
            f.subject.server_complete(f.now, id, f.next_signature());
            f.subject.server_ready(f.now, id, transaction_state::none, {});
        }
        f.settings.groups["g"] = {3, 0}; // of which VMs use one
        f.settings.version = 2;
        f.use_settings();
        f.servers.erase("q");
        f.subject.use_servers(f.now, f.servers);
        CPPUNIT_ASSERT(f.subject.server("q") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.subject.waiting());
    }

    void unsolicited_answer_in_a_transaction_ends_the_process()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::begin));
        f.ask(id, f.make(statement_kind::write));
        const auto connection = f.open_last();
        f.succeed(transaction_state::open);
        f.succeed(transaction_state::open);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.transport.answers[id].size());
        f.subject.server_ready(f.now, connection, transaction_state::open, {});
        CPPUNIT_ASSERT_EQUAL(connection, f.transport.closed.back());
        f.ask(id, f.make(statement_kind::write));
        CPPUNIT_ASSERT(f.transport.last_answer(id).error ==
                       session_error::aborted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_passes_test);

} // namespace tanagerhoist

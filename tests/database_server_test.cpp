#include "group_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace tanagerhoist::standin
{

class database_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(database_server_test);
    CPPUNIT_TEST(write_at_primary_reaches_replicas);
    CPPUNIT_TEST(write_without_primary_role_is_rejected);
    CPPUNIT_TEST(duplicate_write_returns_first_result);
    CPPUNIT_TEST(duplicate_write_after_promotion_returns_first_result);
    CPPUNIT_TEST(booking_an_existing_key_is_rejected);
    CPPUNIT_TEST(scan_lists_keys_with_prefix);
    CPPUNIT_TEST(commit_applies_transaction_atomically);
    CPPUNIT_TEST(repeated_commit_returns_first_result);
    CPPUNIT_TEST(closing_connection_rolls_back_transaction);
    CPPUNIT_TEST(commit_at_sealed_primary_is_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void write_at_primary_reaches_replicas()
    {
        const auto reply = group_.write("s1", 1, "r1", "PUT k v");
        CPPUNIT_ASSERT(reply.outcome() == proto::DATABASE_OK);
        CPPUNIT_ASSERT(!group_.status("s2", reply.point()).holds());
        group_.pass(milliseconds(1));
        for (const auto* server : {"s1", "s2", "s3"})
        {
            CPPUNIT_ASSERT(group_.status(server, reply.point()).holds());
            CPPUNIT_ASSERT(group_.read(server, "k").value() == "v");
            CPPUNIT_ASSERT(!(group_.read(server, "k").point() < reply.point()));
        }
    }

    void write_without_primary_role_is_rejected()
    {
        CPPUNIT_ASSERT(group_.write("s2", 1, "r1", "PUT k v").outcome() ==
                       proto::DATABASE_NOT_PRIMARY);
        group_.seal("s1", 7);
        CPPUNIT_ASSERT(group_.write("s1", 1, "r1", "PUT k v").outcome() ==
                       proto::DATABASE_SEALED);
        CPPUNIT_ASSERT(group_.write("s1", 7, "r1", "PUT k v").outcome() ==
                       proto::DATABASE_NOT_PRIMARY);
        CPPUNIT_ASSERT(group_.read("s1", "k").value().empty());
    }

    void duplicate_write_returns_first_result()
    {
        const auto first = group_.write("s1", 1, "r1", "APPEND k a");
        const auto second = group_.write("s1", 1, "r1", "APPEND k a");
        CPPUNIT_ASSERT(second.outcome() == proto::DATABASE_DUPLICATE);
        CPPUNIT_ASSERT(second.point().position() == first.point().position());
        CPPUNIT_ASSERT(second.value() == "a");
        CPPUNIT_ASSERT(group_.read("s1", "k").value() == "a");
    }

    void duplicate_write_after_promotion_returns_first_result()
    {
        group_.write("s1", 1, "r1", "APPEND k a");
        group_.pass(replication_round);
        const auto primary = group_.replace_primary(5);
        const auto again = group_.write(primary, 5, "r1", "APPEND k a");
        CPPUNIT_ASSERT(again.outcome() == proto::DATABASE_DUPLICATE);
        CPPUNIT_ASSERT(group_.read(primary, "k").value() == "a");
    }

    void booking_an_existing_key_is_rejected()
    {
        group_.write("s1", 1, "r1", "BOOK k a");
        const auto second = group_.write("s1", 1, "r2", "BOOK k b");
        CPPUNIT_ASSERT(second.outcome() == proto::DATABASE_STATEMENT_ERROR);
        CPPUNIT_ASSERT(group_.read("s1", "k").value() == "a");
    }

    void scan_lists_keys_with_prefix()
    {
        group_.write("s1", 1, "r1", "PUT b.1 x");
        group_.write("s1", 1, "r2", "PUT b.2 y z");
        group_.write("s1", 1, "r3", "PUT c.1 x");
        proto::ExecuteRequest request;
        request.set_statement("SCAN b.");
        CPPUNIT_ASSERT_EQUAL(std::string("b.1=x\nb.2=y z\n"),
                             group_.execute("s1", request).value());
    }

    void commit_applies_transaction_atomically()
    {
        group_.step(first_connection, proto::TRANSACTION_BEGIN, "PUT a 1");
        group_.step(first_connection, proto::TRANSACTION_CONTINUE, "PUT b 2");
        CPPUNIT_ASSERT(
            group_.step(first_connection, proto::TRANSACTION_CONTINUE, "GET a")
                .value() == "1");
        CPPUNIT_ASSERT(group_.read("s1", "a").value().empty());
        const auto before = group_.status("s1").last().position();
        group_.step(first_connection, proto::TRANSACTION_COMMIT, "", "r1");
        CPPUNIT_ASSERT(group_.status("s1").last().position() == before + 1);
        CPPUNIT_ASSERT(group_.read("s1", "a").value() == "1");
        CPPUNIT_ASSERT(group_.read("s1", "b").value() == "2");
    }

    void repeated_commit_returns_first_result()
    {
        for (int i = 0; i < 2; ++i)
        {
            group_.step(first_connection, proto::TRANSACTION_BEGIN,
                        "APPEND a 1");
            group_.step(first_connection, proto::TRANSACTION_COMMIT, "", "r1");
        }
        CPPUNIT_ASSERT(group_.read("s1", "a").value() == "1");
        CPPUNIT_ASSERT(
            group_.step(first_connection, proto::TRANSACTION_COMMIT, "", "r1")
                .outcome() == proto::DATABASE_DUPLICATE);
    }

    void closing_connection_rolls_back_transaction()
    {
        group_.step(first_connection, proto::TRANSACTION_BEGIN, "PUT a 1");
        CPPUNIT_ASSERT(
            group_
                .step(other_connection, proto::TRANSACTION_CONTINUE, "PUT b 2")
                .outcome() == proto::DATABASE_NO_TRANSACTION);
        group_.servers.connection_closed("s1", first_connection);
        CPPUNIT_ASSERT(
            group_.step(first_connection, proto::TRANSACTION_COMMIT, "", "r1")
                .outcome() == proto::DATABASE_NO_TRANSACTION);
        CPPUNIT_ASSERT(group_.read("s1", "a").value().empty());
    }

    void commit_at_sealed_primary_is_rejected()
    {
        group_.step(first_connection, proto::TRANSACTION_BEGIN, "PUT a 1");
        group_.seal("s1", 2);
        CPPUNIT_ASSERT(
            group_.step(first_connection, proto::TRANSACTION_COMMIT, "", "r1")
                .outcome() == proto::DATABASE_SEALED);
        CPPUNIT_ASSERT(group_.read("s1", "a").value().empty());
    }

private:
    group_fixture group_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(database_server_test);

} // namespace tanagerhoist::standin

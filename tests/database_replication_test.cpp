#include "group_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace tanagerhoist::standin
{

class database_replication_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(database_replication_test);
    CPPUNIT_TEST(sealed_server_rejects_entries_of_older_term);
    CPPUNIT_TEST(message_of_older_term_is_not_accepted);
    CPPUNIT_TEST(seal_discards_entries_waiting_for_lag);
    CPPUNIT_TEST(promoting_longest_log_of_majority_keeps_replicated_write);
    CPPUNIT_TEST(promotion_in_other_term_than_sealed_is_rejected);
    CPPUNIT_TEST(repeated_promotion_returns_same_point);
    CPPUNIT_TEST(promotion_in_term_of_another_primary_is_rejected);
    CPPUNIT_TEST(new_primary_truncates_divergent_tail);
    CPPUNIT_TEST(lost_messages_are_resent_after_healing);
    CPPUNIT_TEST(restarted_primary_is_a_replica);
    CPPUNIT_TEST(age_grows_at_cut_replica_and_isolated_primary);
    CPPUNIT_TEST(entries_are_applied_after_lag);
    CPPUNIT_TEST_SUITE_END();

public:
    void sealed_server_rejects_entries_of_older_term()
    {
        group_.seal("s2", 4);
        const auto point = group_.write("s1", 1, "r1", "PUT k v").point();
        group_.pass(milliseconds(1));
        CPPUNIT_ASSERT(!group_.status("s2", point).holds());
        // The rejection carries the newer term, so the primary steps down.
        CPPUNIT_ASSERT(!group_.status("s1").primary());
        CPPUNIT_ASSERT(group_.status("s1").sealed_term() == 4);
    }

    void message_of_older_term_is_not_accepted()
    {
        group_.pass(replication_round);
        auto& primary = group_.servers.server("s1");
        group_.now += replication_round;
        const auto message = primary.next_message_for("s2", group_.now).value();
        group_.seal("s2", 4);
        auto& replica = group_.servers.server("s2");
        const auto ack = replica.receive(group_.now, message, milliseconds(0));
        CPPUNIT_ASSERT(!ack.accepted());
        CPPUNIT_ASSERT(group_.status("s2").primary_silent_ms() > 0);
    }

    void seal_discards_entries_waiting_for_lag()
    {
        group_.servers.set_lag(milliseconds(5));
        const auto point = group_.write("s1", 1, "r1", "PUT k v").point();
        group_.pass(milliseconds(2));
        group_.seal("s2", 4);
        group_.pass(replication_round);
        CPPUNIT_ASSERT(!group_.status("s2", point).holds());
        CPPUNIT_ASSERT(group_.status("s3", point).holds());
    }

    void promoting_longest_log_of_majority_keeps_replicated_write()
    {
        for (const auto& behind : {"s2", "s3"})
        {
            group_ = group_fixture();
            group_.servers.cut("s1", behind);
            const auto point = group_.write("s1", 1, "r1", "PUT k v").point();
            group_.pass(replication_round);
            group_.servers.isolate("s1");
            const auto primary = group_.replace_primary(9);
            CPPUNIT_ASSERT(primary != behind);
            group_.pass(replication_round);
            CPPUNIT_ASSERT(group_.status(behind, point).holds());
            CPPUNIT_ASSERT(group_.read(behind, "k").value() == "v");
        }
    }

    void promotion_in_other_term_than_sealed_is_rejected()
    {
        group_.seal("s2", 6);
        CPPUNIT_ASSERT(!group_.promote("s2", 5).accepted());
        CPPUNIT_ASSERT(!group_.promote("s2", 7).accepted());
        CPPUNIT_ASSERT(!group_.status("s2").primary());
        CPPUNIT_ASSERT(group_.promote("s2", 6).accepted());
        CPPUNIT_ASSERT(group_.status("s2").last().term() == 6);
    }

    void repeated_promotion_returns_same_point()
    {
        group_.seal("s2", 6);
        const auto first = group_.promote("s2", 6).first();
        group_.write("s2", 6, "r1", "PUT k v");
        const auto again = group_.promote("s2", 6);
        CPPUNIT_ASSERT(again.accepted());
        CPPUNIT_ASSERT(again.first().position() == first.position());
        CPPUNIT_ASSERT(group_.status("s2").last().position() ==
                       first.position() + 1);
    }

    void promotion_in_term_of_another_primary_is_rejected()
    {
        group_.replace_primary(6);
        group_.pass(replication_round);
        CPPUNIT_ASSERT(!group_.promote("s3", 6).accepted());
    }

    void new_primary_truncates_divergent_tail()
    {
        group_.write("s1", 1, "r0", "PUT k old");
        group_.pass(replication_round);
        group_.servers.isolate("s1");
        for (const auto* id : {"r1", "r2", "r3", "r4"})
        {
            group_.write("s1", 1, id, "APPEND k .lost");
        }
        const auto primary = group_.replace_primary(3);
        group_.write(primary, 3, "r2", "APPEND k .new");
        group_.pass(replication_round);
        CPPUNIT_ASSERT(group_.read("s1", "k").value() ==
                       "old.lost.lost.lost.lost");
        group_.servers.heal();
        group_.pass(replication_round);
        CPPUNIT_ASSERT(!group_.status("s1").primary());
        CPPUNIT_ASSERT_EQUAL(std::string("old.new"),
                             group_.read("s1", "k").value());
        CPPUNIT_ASSERT(group_.status("s1").last().position() ==
                       group_.status(primary).last().position());
        CPPUNIT_ASSERT(group_.servers.server("s1").log().find("r1") == nullptr);
    }

    void lost_messages_are_resent_after_healing()
    {
        group_.servers.cut("s1", "s2");
        proto::LogPoint point;
        for (int i = 0; i < 2000; ++i)
        {
            point = group_.write("s1", 1, std::to_string(i), "PUT k v").point();
            group_.servers.advance(group_.now);
        }
        group_.pass(replication_round);
        CPPUNIT_ASSERT(!group_.status("s2", point).holds());
        group_.servers.heal();
        group_.pass(replication_round);
        CPPUNIT_ASSERT(group_.status("s2", point).holds());
    }

    void restarted_primary_is_a_replica()
    {
        const auto point = group_.write("s1", 1, "r1", "PUT k v").point();
        group_.servers.kill(group_.now, "s1");
        proto::DatabaseCall call;
        call.mutable_status();
        CPPUNIT_ASSERT(!group_.servers.handle(group_.now, "s1", 0, call));
        group_.servers.restart(group_.now, "s1");
        CPPUNIT_ASSERT(!group_.status("s1").primary());
        CPPUNIT_ASSERT(group_.status("s1", point).holds());
        CPPUNIT_ASSERT(group_.status("s1").sealed_term() == 1);
    }

    void age_grows_at_cut_replica_and_isolated_primary()
    {
        group_.pass(replication_round);
        CPPUNIT_ASSERT(group_.status("s1").age_ms() <=
                       replication_round.count());
        CPPUNIT_ASSERT(group_.status("s3").age_ms() <=
                       replication_round.count());
        group_.servers.cut("s1", "s3");
        group_.pass(milliseconds(100));
        CPPUNIT_ASSERT(group_.status("s3").age_ms() >= 100);
        CPPUNIT_ASSERT(group_.status("s3").primary_silent_ms() >= 100);
        CPPUNIT_ASSERT(group_.status("s1").age_ms() <=
                       replication_round.count());
        group_.servers.isolate("s1");
        group_.pass(milliseconds(100));
        CPPUNIT_ASSERT(group_.status("s1").age_ms() >= 100);
        CPPUNIT_ASSERT(group_.status("s1").replicas_silent_ms() >= 100);
        group_.seal("s1", 2);
        CPPUNIT_ASSERT(group_.status("s1").age_ms() >= 100);
    }

    void entries_are_applied_after_lag()
    {
        group_.servers.set_lag("s1", "s2", milliseconds(50));
        group_.pass(replication_round);
        const auto point = group_.write("s1", 1, "r1", "PUT k v").point();
        group_.servers.advance(group_.now);
        group_.pass(milliseconds(49));
        CPPUNIT_ASSERT(!group_.status("s2", point).holds());
        CPPUNIT_ASSERT(group_.status("s3", point).holds());
        group_.pass(milliseconds(1));
        CPPUNIT_ASSERT(group_.status("s2", point).holds());
        CPPUNIT_ASSERT(group_.status("s2").age_ms() >= 50);
    }

private:
    group_fixture group_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(database_replication_test);

} // namespace tanagerhoist::standin

#include "tanagerhoist/decision/transaction_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class transaction_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(transaction_table_test);
    CPPUNIT_TEST(begin_id_unique_per_incarnation);
    CPPUNIT_TEST(begin_shared_connection_refused);
    CPPUNIT_TEST(begin_workspace_over_capacity_refused);
    CPPUNIT_TEST(find_other_user_refused);
    CPPUNIT_TEST(start_statement_outstanding_refused);
    CPPUNIT_TEST(expire_idle_or_too_long_closes);
    CPPUNIT_TEST(caller_gone_closes_only_its_own);
    CPPUNIT_TEST(finish_frees_connection);
    CPPUNIT_TEST_SUITE_END();

    identity self_{"vm", "dc", 17};
    transaction_table table_{self_};
    transaction_user user_{1, "corrib", "session"};
    moment now_;

    std::string begin(std::uint64_t connection)
    {
        return table_.begin(now_, user_, "register", "s", connection);
    }

public:
    void begin_id_unique_per_incarnation()
    {
        const std::string first = begin(1);
        CPPUNIT_ASSERT(!first.empty());
        CPPUNIT_ASSERT(begin(2) != first);
        identity next{"vm", "dc", 18};
        transaction_table other(next);
        CPPUNIT_ASSERT(other.begin(now_, user_, "register", "s", 1) != first);
    }

    void begin_shared_connection_refused()
    {
        CPPUNIT_ASSERT(!begin(1).empty());
        CPPUNIT_ASSERT(begin(1).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table_.size());
    }

    void begin_workspace_over_capacity_refused()
    {
        for (std::uint64_t i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT(table_.may_begin("corrib", "s"));
            begin(i);
        }
        CPPUNIT_ASSERT(!table_.may_begin("corrib", "s"));
        CPPUNIT_ASSERT(table_.may_begin("corrib", "t"));
        CPPUNIT_ASSERT(table_.may_begin("agency", "s"));
    }

    void find_other_user_refused()
    {
        const std::string id = begin(7);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7),
                             table_.find(id, user_).transaction->connection);
        for (const transaction_user& other :
             {transaction_user{2, "corrib", "session"},
              transaction_user{1, "agency", "session"},
              transaction_user{1, "corrib", "other"}})
        {
            const auto found = table_.find(id, other);
            CPPUNIT_ASSERT(found.code == result_code::wrong_transaction_owner);
            CPPUNIT_ASSERT(found.transaction == nullptr);
        }
        CPPUNIT_ASSERT(table_.find("17-99", user_).code ==
                       result_code::unknown_transaction);
    }

    void start_statement_outstanding_refused()
    {
        const std::string id = begin(1);
        CPPUNIT_ASSERT(table_.start_statement(id));
        CPPUNIT_ASSERT(!table_.start_statement(id));
        table_.finish_statement(now_, id);
        CPPUNIT_ASSERT(table_.start_statement(id));
        CPPUNIT_ASSERT(!table_.start_statement("17-99"));
    }

    void expire_idle_or_too_long_closes()
    {
        const std::string id = begin(1);
        table_.start_statement(id);
        now_ += milliseconds(6'000);
        CPPUNIT_ASSERT(table_.expire(now_).empty());
        table_.finish_statement(now_, id);
        now_ += milliseconds(4'999);
        CPPUNIT_ASSERT(table_.expire(now_).empty());
        now_ += milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             table_.expire(now_).at(0).connection);
        const std::string busy = begin(2);
        now_ += milliseconds(60'000);
        table_.finish_statement(now_, busy);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table_.expire(now_).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table_.size());
    }

    void caller_gone_closes_only_its_own()
    {
        begin(1);
        user_.caller = 2;
        const std::string kept = begin(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table_.caller_gone(1).size());
        CPPUNIT_ASSERT(table_.find(kept, user_).code == result_code::ok);
        CPPUNIT_ASSERT(table_.connection_lost(2)->id == kept);
        CPPUNIT_ASSERT(!table_.connection_lost(2));
    }

    void finish_frees_connection()
    {
        const std::string id = begin(1);
        CPPUNIT_ASSERT(table_.finish(id)->connection == 1U);
        CPPUNIT_ASSERT(!table_.finish(id));
        CPPUNIT_ASSERT(table_.find(id, user_).code ==
                       result_code::unknown_transaction);
        CPPUNIT_ASSERT(!begin(1).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(transaction_table_test);

} // namespace tanagerhoist

#include "tanagerhoist/session/drain_schedule.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class drain_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(drain_schedule_test);
    CPPUNIT_TEST(statement_is_taken_only_with_time_for_its_answer);
    CPPUNIT_TEST(transaction_is_taken_in_the_first_half_of_the_grace);
    CPPUNIT_TEST(idle_session_is_closed_once_the_balancer_noticed);
    CPPUNIT_TEST(new_session_has_time_for_its_first_operation);
    CPPUNIT_TEST(drain_without_clients_is_over_once_none_can_come);
    CPPUNIT_TEST(short_grace_leaves_at_once);
    CPPUNIT_TEST_SUITE_END();

    const moment start_{std::chrono::hours(1)};
    const drain_schedule subject_{start_, milliseconds(6000)};

    moment after(int ms) const { return start_ + milliseconds(ms); }

public:
    void statement_is_taken_only_with_time_for_its_answer()
    {
        CPPUNIT_ASSERT(subject_.leaves() == after(5100));
        CPPUNIT_ASSERT(
            subject_.takes_statement(after(4000), milliseconds(900)));
        CPPUNIT_ASSERT(
            !subject_.takes_statement(after(4000), milliseconds(1000)));
        CPPUNIT_ASSERT(!subject_.takes_statement(after(5000), milliseconds(0)));
        CPPUNIT_ASSERT(!subject_.takes_statement(after(9000), milliseconds(0)));
        CPPUNIT_ASSERT(subject_.ends() > subject_.leaves());
        CPPUNIT_ASSERT(subject_.ends() < after(6000));
    }

    void transaction_is_taken_in_the_first_half_of_the_grace()
    {
        CPPUNIT_ASSERT(subject_.takes_transaction(after(2999)));
        CPPUNIT_ASSERT(!subject_.takes_transaction(after(3000)));
        CPPUNIT_ASSERT(subject_.ends_transactions() == after(3000));
    }

    void idle_session_is_closed_once_the_balancer_noticed()
    {
        CPPUNIT_ASSERT(!subject_.closes_session(after(2299), start_, true));
        CPPUNIT_ASSERT(subject_.closes_session(after(2300), start_, true));
        CPPUNIT_ASSERT(subject_.closes_session(after(2300), start_, false));
    }

    void new_session_has_time_for_its_first_operation()
    {
        const auto last = after(2400);
        CPPUNIT_ASSERT(!subject_.closes_session(after(2899), last, false));
        CPPUNIT_ASSERT(subject_.closes_session(after(2900), last, false));
        CPPUNIT_ASSERT(subject_.closes_session(after(2450), last, true));
        CPPUNIT_ASSERT(
            subject_.closes_session(after(5100), after(5090), false));
    }

    void drain_without_clients_is_over_once_none_can_come()
    {
        CPPUNIT_ASSERT(!subject_.is_over(after(2499), false));
        CPPUNIT_ASSERT(subject_.is_over(after(2500), false));
        CPPUNIT_ASSERT(!subject_.is_over(after(5099), true));
        CPPUNIT_ASSERT(subject_.is_over(after(5100), true));
    }

    void short_grace_leaves_at_once()
    {
        const drain_schedule short_one(start_, milliseconds(500));
        CPPUNIT_ASSERT(short_one.leaves() == start_);
        CPPUNIT_ASSERT(!short_one.takes_statement(start_, milliseconds(0)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_schedule_test);

} // namespace tanagerhoist

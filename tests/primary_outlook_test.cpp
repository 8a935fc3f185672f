#include "tanagerhoist/session/primary_outlook.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class primary_outlook_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(primary_outlook_test);
    CPPUNIT_TEST(seal_without_known_wait_may_end_at_any_moment);
    CPPUNIT_TEST(seal_that_waits_ends_after_the_wait_and_a_promotion);
    CPPUNIT_TEST(primary_that_just_failed_may_return_or_be_replaced);
    CPPUNIT_TEST(primary_that_nobody_replaces_is_not_expected_soon);
    CPPUNIT_TEST(failed_primary_without_coordinator_is_not_expected_soon);
    CPPUNIT_TEST(vm_without_lease_does_not_expect_the_primary_soon);
    CPPUNIT_TEST_SUITE_END();

    const moment now_{std::chrono::hours(1)};

    primary_outage outage_with_coordinator() const
    {
        primary_outage outage;
        outage.coordinator_heard = now_;
        return outage;
    }

public:
    void seal_without_known_wait_may_end_at_any_moment()
    {
        auto outage = outage_with_coordinator();
        outage.sealed = true;
        CPPUNIT_ASSERT(earliest_primary(now_, outage) == now_);
    }

    void seal_that_waits_ends_after_the_wait_and_a_promotion()
    {
        auto outage = outage_with_coordinator();
        outage.sealed = true;
        outage.promotion_waits_until = now_ + milliseconds(5000);
        CPPUNIT_ASSERT(earliest_primary(now_, outage) >
                       now_ + milliseconds(5000));
        CPPUNIT_ASSERT(earliest_primary(now_, outage) <
                       now_ + milliseconds(6000));
        outage.promotion_waits_until = now_ - milliseconds(5000);
        CPPUNIT_ASSERT(earliest_primary(now_, outage) == now_);
    }

    void primary_that_just_failed_may_return_or_be_replaced()
    {
        auto outage = outage_with_coordinator();
        outage.failing_since = now_ - milliseconds(1000);
        CPPUNIT_ASSERT(earliest_primary(now_, outage) == now_);
    }

    void primary_that_nobody_replaces_is_not_expected_soon()
    {
        auto outage = outage_with_coordinator();
        outage.failing_since = now_ - milliseconds(4000);
        CPPUNIT_ASSERT(earliest_primary(now_, outage) >
                       now_ + milliseconds(500));
    }

    void failed_primary_without_coordinator_is_not_expected_soon()
    {
        auto outage = outage_with_coordinator();
        outage.coordinator_heard = now_ - milliseconds(3000);
        outage.failing_since = now_ - milliseconds(1000);
        CPPUNIT_ASSERT(earliest_primary(now_, outage) >
                       now_ + milliseconds(500));
        outage.failing_since = now_ - milliseconds(100); // maybe one connection
        CPPUNIT_ASSERT(earliest_primary(now_, outage) == now_);
    }

    void vm_without_lease_does_not_expect_the_primary_soon()
    {
        auto outage = outage_with_coordinator();
        outage.lease_valid = false;
        CPPUNIT_ASSERT(earliest_primary(now_, outage) >
                       now_ + milliseconds(500));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(primary_outlook_test);

} // namespace tanagerhoist

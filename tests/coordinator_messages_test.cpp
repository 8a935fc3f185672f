#include "tanagerhoist/fleet/coordinator_messages.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class coordinator_messages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(coordinator_messages_test);
    CPPUNIT_TEST(repeated_and_reordered_views_are_dropped);
    CPPUNIT_TEST(view_of_a_former_coordinator_is_dropped);
    CPPUNIT_TEST(grants_count_once_and_only_from_the_coordinator);
    CPPUNIT_TEST(view_keeps_the_send_time_of_the_report_it_answers);
    CPPUNIT_TEST(dropped_view_is_no_contact);
    CPPUNIT_TEST(view_for_former_process_answers_no_report);
    CPPUNIT_TEST_SUITE_END();

    const moment now_{std::chrono::hours(1)};

public:
    void repeated_and_reordered_views_are_dropped()
    {
        coordinator_messages subject;
        CPPUNIT_ASSERT(subject.accept_view(now_, 1, 5));
        CPPUNIT_ASSERT(!subject.accept_view(now_, 1, 5));
        CPPUNIT_ASSERT(!subject.accept_view(now_, 1, 4));
        CPPUNIT_ASSERT(subject.accept_view(now_, 1, 6));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, subject.newest_view());
    }

    void view_of_a_former_coordinator_is_dropped()
    {
        coordinator_messages subject;
        CPPUNIT_ASSERT(subject.is_new_coordinator(1));
        CPPUNIT_ASSERT(subject.accept_view(now_, 1, 500));
        CPPUNIT_ASSERT(!subject.is_new_coordinator(1));
        CPPUNIT_ASSERT(subject.is_new_coordinator(2));
        CPPUNIT_ASSERT(subject.accept_view(now_, 2, 1)); // its first
        CPPUNIT_ASSERT(subject.is_outdated(1));
        CPPUNIT_ASSERT(!subject.accept_view(now_, 1, 501));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, subject.token());
    }

    void grants_count_once_and_only_from_the_coordinator()
    {
        coordinator_messages subject;
        subject.accept_view(now_, 2, 5);
        CPPUNIT_ASSERT(subject.accept_grants(2, 6));
        CPPUNIT_ASSERT(!subject.accept_grants(2, 6));
        CPPUNIT_ASSERT(!subject.accept_grants(1, 7));
        CPPUNIT_ASSERT(!subject.accept_grants(3, 7)); // not known as one yet
        CPPUNIT_ASSERT(!subject.accept_view(now_, 2, 6)); // grants were newer
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, subject.newest_view());
    }

    void view_keeps_the_send_time_of_the_report_it_answers()
    {
        coordinator_messages subject;
        const auto first = subject.record_report(now_);
        const auto second = subject.record_report(now_ + milliseconds(400));
        CPPUNIT_ASSERT(subject.next_sequence() > second);
        CPPUNIT_ASSERT(subject.report_sent_at(first) == now_);
        CPPUNIT_ASSERT(subject.report_sent_at(second) ==
                       now_ + milliseconds(400));
        CPPUNIT_ASSERT(!subject.report_sent_at(second + 1));
        for (int i = 0; i < 100; ++i)
        {
            subject.record_report(now_);
        }
        CPPUNIT_ASSERT(!subject.report_sent_at(first)); // long ago
    }

    void dropped_view_is_no_contact()
    {
        coordinator_messages subject;
        subject.accept_view(now_, 2, 5);
        subject.accept_view(now_ + milliseconds(400), 1, 600);
        CPPUNIT_ASSERT(subject.last_contact() == now_);
    }

    /// The positions in a late view that answered a report of the former
    /// process were dated from a report of this one with the same number.
    void view_for_former_process_answers_no_report()
    {
        coordinator_messages former(0x8d2f'51c3'0b96'e47aU);
        coordinator_messages subject(0x17e4'a8f0'62d5'39bcU);
        const auto answered = former.record_report(now_);
        subject.record_report(now_ + milliseconds(400));
        CPPUNIT_ASSERT(!subject.report_sent_at(answered));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(coordinator_messages_test);

} // namespace tanagerhoist

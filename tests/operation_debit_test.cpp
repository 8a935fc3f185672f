#include "tanagerhoist/session/operation_debit.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class operation_debit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operation_debit_test);
    CPPUNIT_TEST(operation_that_was_not_sent_is_given_back_once);
    CPPUNIT_TEST(operation_without_an_answer_is_kept);
    CPPUNIT_TEST(operation_that_a_server_did_not_run_is_given_back);
    CPPUNIT_TEST(operation_sent_twice_is_kept_though_the_second_did_not_run);
    CPPUNIT_TEST(operation_that_ran_is_kept_whatever_follows);
    CPPUNIT_TEST(nothing_taken_is_not_given_back);
    CPPUNIT_TEST_SUITE_END();

public:
    void operation_that_was_not_sent_is_given_back_once()
    {
        operation_debit subject;
        subject.take();
        CPPUNIT_ASSERT(subject.end());
        CPPUNIT_ASSERT(!subject.end());
    }

    void operation_without_an_answer_is_kept()
    {
        operation_debit subject;
        subject.take();
        subject.note_sent();
        CPPUNIT_ASSERT(!subject.end());
    }

    void operation_that_a_server_did_not_run_is_given_back()
    {
        operation_debit subject;
        subject.take();
        for (int i = 0; i < 3; ++i)
        {
            subject.note_sent();
            subject.note_not_run();
        }
        CPPUNIT_ASSERT(subject.end());
    }

    void operation_sent_twice_is_kept_though_the_second_did_not_run()
    {
        operation_debit subject;
        subject.take();
        subject.note_sent();
        subject.note_sent(); // the first connection was lost
        subject.note_not_run();
        CPPUNIT_ASSERT(!subject.end());
    }

    void operation_that_ran_is_kept_whatever_follows()
    {
        operation_debit subject;
        subject.take();
        subject.note_sent();
        subject.note_used();
        subject.note_sent();
        subject.note_not_run();
        CPPUNIT_ASSERT(!subject.end());
    }

    void nothing_taken_is_not_given_back()
    {
        operation_debit subject;
        subject.note_sent();
        subject.note_not_run();
        CPPUNIT_ASSERT(!subject.end());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operation_debit_test);

} // namespace tanagerhoist

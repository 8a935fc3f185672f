#include "tanagerhoist/fleet/held_rows.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class held_rows_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(held_rows_test);
    CPPUNIT_TEST(server_missing_after_a_restore_stays_until_written_again);
    CPPUNIT_TEST(server_that_nobody_writes_again_is_removed);
    CPPUNIT_TEST(row_that_goes_forward_takes_effect_at_once);
    CPPUNIT_TEST_SUITE_END();

    static store_row row(const std::string& key, bool removed)
    {
        return {"servers", key, "", 1, removed};
    }

    moment now_{std::chrono::hours(1)};
    held_rows subject_;
    const held_rows::predicate goes_back_ = [](const store_row& row)
    { return row.removed; };

public:
    void server_missing_after_a_restore_stays_until_written_again()
    {
        CPPUNIT_ASSERT(
            subject_.hold(now_, {row("a", true)}, goes_back_).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             subject_.pass({row("a", false)}).size());
        now_ += rewrite_time;
        CPPUNIT_ASSERT(subject_.take_due(now_).empty());
    }

    void server_that_nobody_writes_again_is_removed()
    {
        subject_.hold(now_, {row("a", true)}, goes_back_);
        now_ += rewrite_time - milliseconds(1);
        CPPUNIT_ASSERT(subject_.take_due(now_).empty());
        now_ += milliseconds(1);
        const auto due = subject_.take_due(now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, due.size());
        CPPUNIT_ASSERT(due[0].removed);
        CPPUNIT_ASSERT(subject_.take_due(now_).empty());
    }

    void row_that_goes_forward_takes_effect_at_once()
    {
        subject_.hold(now_, {row("a", true)}, goes_back_);
        const auto passed =
            subject_.hold(now_, {row("a", false), row("b", false)}, goes_back_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, passed.size());
        now_ += rewrite_time;
        CPPUNIT_ASSERT(subject_.take_due(now_).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(held_rows_test);

} // namespace tanagerhoist

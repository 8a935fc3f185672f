#include "fake_row_store.hpp"
#include "tanagerhoist/fleet/era_row_store.hpp"
#include "tanagerhoist/fleet/store_era.hpp"
#include "tanagerhoist/fleet/table_cache.hpp"
#include "tanagerhoist/fleet/table_read.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

/// A store that comes back older gives its versions out again.
class era_row_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(era_row_store_test);
    CPPUNIT_TEST(version_given_out_again_is_newer);
    CPPUNIT_TEST(watch_from_before_the_restore_is_refused);
    CPPUNIT_TEST(watch_skips_nothing_once_the_counter_has_caught_up);
    CPPUNIT_TEST(condition_met_by_a_version_given_out_again_is_told);
    CPPUNIT_TEST(row_that_must_not_exist_needs_no_era);
    CPPUNIT_TEST(row_written_again_replaces_the_lost_one_in_a_copy);
    CPPUNIT_TEST(table_read_across_the_restore_fails);
    CPPUNIT_TEST(numbers_rise_with_the_era_whatever_was_lost);
    CPPUNIT_TEST_SUITE_END();

    moment now_{};
    fake_row_store plain_{now_};
    era_row_store store_{plain_};

    store_answer put(const std::string& key, const std::string& value)
    {
        return store_.write({{}, {{"t", key, value, 0, false}}, {}});
    }

public:
    void version_given_out_again_is_newer()
    {
        plain_.take_copy();
        const auto lost = put("a", "1").version;
        plain_.restore();
        const auto again = put("a", "2").version;
        CPPUNIT_ASSERT_EQUAL(number_in_era(lost), number_in_era(again));
        CPPUNIT_ASSERT(again > lost);
        CPPUNIT_ASSERT_EQUAL(again, store_.read("t", "").rows[0].version);
    }

    void watch_from_before_the_restore_is_refused()
    {
        plain_.take_copy();
        const auto known = put("a", "1").version;
        plain_.restore();
        CPPUNIT_ASSERT(store_.watch("t", known, milliseconds(0)).result ==
                       store_result::compacted);
    }

    void watch_skips_nothing_once_the_counter_has_caught_up()
    {
        plain_.take_copy();
        const auto known = put("a", "1").version;
        plain_.restore();
        put("a", "2");
        put("b", "1");
        CPPUNIT_ASSERT(store_.watch("t", known, milliseconds(0)).result ==
                       store_result::restored);
    }

    void condition_met_by_a_version_given_out_again_is_told()
    {
        plain_.take_copy();
        const auto known = put("a", "1").version;
        plain_.restore();
        put("a", "another's");
        const auto answer = store_.write(
            {{{"t", "a", "", known, false}}, {{"t", "a", "2", 0, false}}, {}});
        CPPUNIT_ASSERT(answer.result == store_result::restored);
    }

    void row_that_must_not_exist_needs_no_era()
    {
        plain_.restore();
        const auto answer = store_.write(
            {{{"t", "a", "", 0, false}}, {{"t", "a", "1", 0, false}}, {}});
        CPPUNIT_ASSERT(answer.result == store_result::done);
    }

    void row_written_again_replaces_the_lost_one_in_a_copy()
    {
        plain_.take_copy();
        put("a", "lost");
        put("a", "lost, too");
        table_cache copy(true);
        copy.apply(read_table(store_, "t"), true);
        plain_.restore();
        put("a", "written again");
        const auto changed = copy.apply(read_table(store_, "t"), true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("written again"), changed[0].value);
        CPPUNIT_ASSERT(
            store_.watch("t", copy.version(), milliseconds(0)).result ==
            store_result::done);
    }

    void table_read_across_the_restore_fails()
    {
        for (const auto* key : {"a", "b", "c"})
        {
            put(key, "1");
        }
        plain_.take_copy();
        plain_.page_rows = 2;
        plain_.on_read = [this]
        {
            if (plain_.reads == 2)
            {
                plain_.restore();
            }
        };
        CPPUNIT_ASSERT(read_table(store_, "t").result ==
                       store_result::restored);
    }

    void numbers_rise_with_the_era_whatever_was_lost()
    {
        const auto first = next_number(0, 1);
        const auto second = next_number(first, 1);
        CPPUNIT_ASSERT_EQUAL(first + 1, second);
        CPPUNIT_ASSERT(next_number(0, 2) > second);
        CPPUNIT_ASSERT_EQUAL(store_era{2}, era_of(next_number(second, 2)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next_number(0, 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(era_row_store_test);

} // namespace tanagerhoist

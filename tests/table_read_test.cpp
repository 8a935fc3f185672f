#include "fake_row_store.hpp"
#include "tanagerhoist/fleet/table_read.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class table_read_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_read_test);
    CPPUNIT_TEST(table_of_several_pages_is_read_whole);
    CPPUNIT_TEST(table_of_one_page_takes_one_call);
    CPPUNIT_TEST(failure_of_a_later_page_fails_the_read);
    CPPUNIT_TEST(page_without_new_row_fails_the_read);
    CPPUNIT_TEST_SUITE_END();

    static void fill(fake_row_store& store, int rows)
    {
        store_transaction change;
        for (int i = 0; i < rows; ++i)
        {
            change.puts.push_back(
                {"t", "key" + std::to_string(100 + i), "v", 0, false});
        }
        store.write(change);
    }

public:
    void table_of_several_pages_is_read_whole()
    {
        moment now{std::chrono::hours(1)};
        fake_row_store store(now);
        store.page_rows = 4;
        fill(store, 11);
        const auto answer = read_table(store, "t");
        CPPUNIT_ASSERT(answer.result == store_result::done);
        CPPUNIT_ASSERT(!answer.truncated);
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, answer.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("key110"), answer.rows.back().key);
    }

    void table_of_one_page_takes_one_call()
    {
        moment now{std::chrono::hours(1)};
        fake_row_store store(now);
        store.page_rows = 4;
        fill(store, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                             read_table(store, "t").rows.size());
        CPPUNIT_ASSERT_EQUAL(1, store.reads);
    }

    void failure_of_a_later_page_fails_the_read()
    {
        moment now{std::chrono::hours(1)};
        fake_row_store store(now);
        store.page_rows = 4;
        store.reads_until_down = 1;
        fill(store, 11);
        CPPUNIT_ASSERT(read_table(store, "t").result == store_result::refused);
    }

    void page_without_new_row_fails_the_read()
    {
        moment now{std::chrono::hours(1)};
        fake_row_store store(now);
        // each page holds only the last row of the previous one
        store.page_rows = 1;
        fill(store, 3);
        CPPUNIT_ASSERT(read_table(store, "t").result ==
                       store_result::malformed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_read_test);

} // namespace tanagerhoist

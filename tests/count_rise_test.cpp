#include "tanagerhoist/core/count_rise.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class count_rise_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(count_rise_test);
    CPPUNIT_TEST(rise_is_taken_at_most_once_a_second_and_whole);
    CPPUNIT_TEST(unchanged_count_is_not_taken);
    CPPUNIT_TEST_SUITE_END();

    const moment begin_{std::chrono::hours(1)};
    count_rise rise_;

public:
    /// A count that rises by one each millisecond.
    void rise_is_taken_at_most_once_a_second_and_whole()
    {
        constexpr std::uint64_t most = 10'000;
        std::uint64_t lines = 0;
        std::uint64_t sum = 0;
        for (std::uint64_t count = 1; count <= most; ++count)
        {
            const auto rise = rise_.take(begin_ + milliseconds(count), count);
            lines += rise == 0 ? 0 : 1;
            sum += rise;
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, lines);
        sum += rise_.take(begin_ + milliseconds(most) + count_rise::interval,
                          most);
        CPPUNIT_ASSERT_EQUAL(most, sum);
    }

    void unchanged_count_is_not_taken()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, rise_.take(begin_, 0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, rise_.take(begin_, 3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             rise_.take(begin_ + std::chrono::hours(1), 3));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(count_rise_test);

} // namespace tanagerhoist

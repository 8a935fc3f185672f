#include "tanagerhoist/decision/token_bucket.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <vector>

namespace tanagerhoist
{

class token_bucket_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(token_bucket_test);
    CPPUNIT_TEST(takes_of_a_window_never_exceed_rate_and_burst);
    CPPUNIT_TEST(slices_together_never_exceed_the_whole);
    CPPUNIT_TEST(fractions_of_a_token_are_not_lost);
    CPPUNIT_TEST(smaller_share_discards_what_it_can_not_hold);
    CPPUNIT_TEST(minimum_capacity_does_not_raise_the_rate);
    CPPUNIT_TEST(returned_tokens_do_not_exceed_the_capacity);
    CPPUNIT_TEST(time_that_goes_back_earns_nothing);
    CPPUNIT_TEST(waiting_as_long_as_told_makes_a_request_available);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t rate = 50;  // requests per second
    static constexpr std::uint64_t burst = 20; // requests
    const moment start_{std::chrono::hours(1)};

    token_bucket bucket_with(std::uint64_t parts) const
    {
        token_bucket made;
        made.use_share(start_, rate, burst, parts);
        return made;
    }

public:
    void takes_of_a_window_never_exceed_rate_and_burst()
    {
        auto subject = bucket_with(share_parts);
        std::minstd_rand random(1);
        auto now = start_;
        std::vector<moment> taken;
        for (int i = 0; i < 20000; ++i)
        {
            now += milliseconds(random() % 30);
            if (subject.take(now, token_unit))
            {
                taken.push_back(now);
            }
        }
        constexpr std::chrono::seconds window{5};
        constexpr std::size_t most = rate * window.count() + burst;
        CPPUNIT_ASSERT(taken.size() > most);
        for (std::size_t i = 0; i + most < taken.size(); ++i)
        {
            CPPUNIT_ASSERT(taken[i + most] - taken[i] >= window);
        }
    }

    void slices_together_never_exceed_the_whole()
    {
        std::vector<token_bucket> slices;
        std::uint64_t given = 0;
        for (const std::uint64_t parts :
             {share_parts / 3, share_parts / 7, std::uint64_t{1}})
        {
            slices.push_back(bucket_with(parts));
            given += parts;
        }
        slices.push_back(bucket_with(share_parts - given));
        const auto whole = bucket_with(share_parts);
        for (milliseconds passed{0}; passed < milliseconds(2000);
             passed += milliseconds(7))
        {
            std::uint64_t sum = 0;
            for (const auto& slice : slices)
            {
                sum += slice.tokens(start_ + passed);
            }
            CPPUNIT_ASSERT(sum <= whole.tokens(start_ + passed));
        }
    }

    void fractions_of_a_token_are_not_lost()
    {
        auto subject = bucket_with(1); // earns a token in some 20,000 us
        subject.set_min_capacity(token_unit);
        subject.clear();
        for (int i = 1; i <= 1000; ++i)
        {
            subject.take(start_ + milliseconds(i), token_unit);
        }
        const auto earned = rate * token_unit / share_parts;
        CPPUNIT_ASSERT_EQUAL(earned,
                             subject.tokens(start_ + milliseconds(1000)));
    }

    void smaller_share_discards_what_it_can_not_hold()
    {
        auto subject = bucket_with(share_parts);
        const auto full = start_ + std::chrono::seconds(1);
        CPPUNIT_ASSERT_EQUAL(burst * token_unit, subject.tokens(full));
        subject.use_parts(full, share_parts / 2);
        CPPUNIT_ASSERT_EQUAL(burst * token_unit / 2, subject.tokens(full));
        subject.use_parts(full, share_parts);
        CPPUNIT_ASSERT_EQUAL(burst * token_unit / 2, subject.tokens(full));
    }

    void minimum_capacity_does_not_raise_the_rate()
    {
        auto subject = bucket_with(share_parts / 100);
        subject.set_min_capacity(2 * token_unit);
        subject.clear();
        CPPUNIT_ASSERT(!subject.take(start_ + milliseconds(1900), token_unit));
        CPPUNIT_ASSERT(subject.take(start_ + milliseconds(2100), token_unit));
    }

    void returned_tokens_do_not_exceed_the_capacity()
    {
        auto subject = bucket_with(share_parts);
        subject.add(start_, 1000 * token_unit);
        CPPUNIT_ASSERT_EQUAL(burst * token_unit, subject.tokens(start_));
    }

    void time_that_goes_back_earns_nothing()
    {
        auto subject = bucket_with(share_parts);
        subject.clear();
        subject.take(start_ + milliseconds(100), 0);
        const auto before = subject.tokens(start_ + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(before, subject.tokens(start_));
        subject.take(start_, 0);
        CPPUNIT_ASSERT_EQUAL(before,
                             subject.tokens(start_ + milliseconds(100)));
    }

    void waiting_as_long_as_told_makes_a_request_available()
    {
        auto subject = bucket_with(share_parts / 10);
        subject.clear();
        const milliseconds longest{2000};
        const auto wait =
            subject.time_until_available(start_, token_unit, longest);
        CPPUNIT_ASSERT(wait > milliseconds(0) && wait < longest);
        CPPUNIT_ASSERT(subject.take(start_ + wait, token_unit));
        auto slow = bucket_with(1);
        slow.clear();
        CPPUNIT_ASSERT(slow.time_until_available(start_, token_unit, longest) ==
                       longest);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(token_bucket_test);

} // namespace tanagerhoist

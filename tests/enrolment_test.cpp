#include "standin/platform.hpp"
#include "tanagerhoist/decision/enrolment.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class enrolment_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(enrolment_test);
    CPPUNIT_TEST(numbers_of_two_racing_differ);
    CPPUNIT_TEST(reply_lost_burns_the_number);
    CPPUNIT_TEST(platform_down_leaves_no_number);
    CPPUNIT_TEST(renewal_takes_a_later_number);
    CPPUNIT_TEST_SUITE_END();

public:
    void numbers_of_two_racing_differ()
    {
        enrolment other;
        outbox other_out;
        for (int i = 0; i < 6; ++i)
        {
            one_.on_tick({}, out_);
            other.on_tick({}, other_out);
            answer(out_);
            answer(other_out);
        }
        CPPUNIT_ASSERT(one_.number() != 0);
        CPPUNIT_ASSERT(other.number() != 0);
        CPPUNIT_ASSERT(one_.number() != other.number());
    }

    void reply_lost_burns_the_number()
    {
        run(1); // reads
        platform_.lose_replies(1);
        run(1); // writes; the reply is lost
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, one_.number());
        run(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, one_.number());
    }

    void platform_down_leaves_no_number()
    {
        platform_.set_down(true);
        run(5);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, one_.number());
        platform_.set_down(false);
        run(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, one_.number());
    }

    void renewal_takes_a_later_number()
    {
        run(2);
        one_.renew();
        run(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, one_.number());
    }

private:
    void run(int ticks)
    {
        for (; ticks > 0; --ticks)
        {
            one_.on_tick({}, out_);
            answer(out_);
        }
    }

    void answer(outbox& out)
    {
        for (const auto& action : out.take_actions())
        {
            const auto& call = action.call_platform();
            const auto reply = platform_.handle({}, call.call());
            out.take_platform(call.tag())({}, reply ? &*reply : nullptr);
        }
    }

    standin::platform platform_;
    enrolment one_;
    outbox out_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(enrolment_test);

} // namespace tanagerhoist

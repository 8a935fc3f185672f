#include "standin/platform.hpp"
#include "tanagerhoist/decision/incarnation_allocator.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class incarnation_allocator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(incarnation_allocator_test);
    CPPUNIT_TEST(concurrent_allocations_differ);
    CPPUNIT_TEST(lost_reply_skips_the_number);
    CPPUNIT_TEST(no_number_while_platform_is_down);
    CPPUNIT_TEST(renewal_allocates_a_later_number);
    CPPUNIT_TEST_SUITE_END();

public:
    void concurrent_allocations_differ()
    {
        incarnation_allocator other;
        outbox other_out;
        for (int i = 0; i < 6; ++i)
        {
            allocator_.on_tick({}, out_);
            other.on_tick({}, other_out);
            answer(out_);
            answer(other_out);
        }
        CPPUNIT_ASSERT(allocator_.number() != 0);
        CPPUNIT_ASSERT(other.number() != 0);
        CPPUNIT_ASSERT(allocator_.number() != other.number());
    }

    void lost_reply_skips_the_number()
    {
        run(1); // reads the row
        platform_.lose_replies(1);
        run(1); // writes the row; the reply is lost
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, allocator_.number());
        run(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, allocator_.number());
    }

    void no_number_while_platform_is_down()
    {
        platform_.set_down(true);
        run(5);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, allocator_.number());
        platform_.set_down(false);
        run(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, allocator_.number());
    }

    void renewal_allocates_a_later_number()
    {
        run(2);
        allocator_.renew();
        run(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, allocator_.number());
    }

private:
    void run(int ticks)
    {
        for (; ticks > 0; --ticks)
        {
            allocator_.on_tick({}, out_);
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
    incarnation_allocator allocator_;
    outbox out_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(incarnation_allocator_test);

} // namespace tanagerhoist

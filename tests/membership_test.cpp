#include "tanagerhoist/decision/membership.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace tanagerhoist
{

class membership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(vm_listed_but_silent_is_not_serving);
    CPPUNIT_TEST(vm_heard_but_not_listed_is_not_serving);
    CPPUNIT_TEST(vm_dropped_is_gone_only_after_the_wait);
    CPPUNIT_TEST(vm_dropped_and_back_is_not_gone);
    CPPUNIT_TEST(stale_list_marks_no_vm_gone);
    CPPUNIT_TEST(incarnation_replaced_is_gone_after_the_wait);
    CPPUNIT_TEST(delayed_heartbeat_does_not_extend_confirmation);
    CPPUNIT_TEST(self_dropped_is_not_confirmed);
    CPPUNIT_TEST(leaving_self_is_not_serving);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { list(1000, {"a", "b", "c"}); }

    void vm_listed_but_silent_is_not_serving()
    {
        heartbeat(1000, "b", 2, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, members_.serving(ms(1100)).size());
        CPPUNIT_ASSERT(members_.majority_heard(ms(1100)));
        CPPUNIT_ASSERT(!members_.majority_heard(ms(3000)));
    }

    void vm_heard_but_not_listed_is_not_serving()
    {
        heartbeat(1000, "z", 9, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, members_.serving(ms(1100)).size());
    }

    void vm_dropped_is_gone_only_after_the_wait()
    {
        list(2000, {"a", "b"});
        list(6500, {"a", "b"});
        CPPUNIT_ASSERT(!members_.gone("c", 3, ms(6900)));
        CPPUNIT_ASSERT(members_.gone("c", 3, ms(7100)));
    }

    void vm_dropped_and_back_is_not_gone()
    {
        list(2000, {"a", "b"});
        list(6500, {"a", "b", "c"});
        CPPUNIT_ASSERT(!members_.gone("c", 3, ms(7100)));
    }

    void stale_list_marks_no_vm_gone()
    {
        list(2000, {"a", "b"});
        CPPUNIT_ASSERT(!members_.gone("c", 3, ms(60000)));
    }

    void incarnation_replaced_is_gone_after_the_wait()
    {
        heartbeat(1000, "b", 2, 0);
        heartbeat(2000, "b", 7, 0);
        list(6500, {"a", "b", "c"});
        CPPUNIT_ASSERT(!members_.gone(2, ms(6900)));
        CPPUNIT_ASSERT(members_.gone(2, ms(7100)));
        CPPUNIT_ASSERT(!members_.gone(7, ms(7100)));
    }

    void delayed_heartbeat_does_not_extend_confirmation()
    {
        heartbeat(9000, "b", 2, 2000); // echoes a heartbeat sent at 2 s
        CPPUNIT_ASSERT(!members_.confirmed(ms(9000)));
        heartbeat(9000, "b", 2, 8000);
        CPPUNIT_ASSERT(members_.confirmed(ms(9000)));
    }

    void self_dropped_is_not_confirmed()
    {
        CPPUNIT_ASSERT(members_.confirmed(ms(1500)));
        list(2000, {"b", "c"});
        CPPUNIT_ASSERT(!members_.confirmed(ms(2000)));
    }

    void leaving_self_is_not_serving()
    {
        members_.start_leaving();
        CPPUNIT_ASSERT(members_.serving(ms(1100)).empty());
    }

private:
    static moment ms(std::uint64_t value) { return moment_from(value * 1000); }

    void list(std::uint64_t at, const std::vector<std::string>& vms)
    {
        proto::PlatformReply reply;
        for (const auto& vm : vms)
        {
            reply.add_listed()->set_vm(vm);
        }
        members_.on_tick(ms(at), {}, out_);
        for (const auto& action : out_.take_actions())
        {
            if (action.has_call_platform())
            {
                out_.take_platform(action.call_platform().tag())(ms(at),
                                                                 &reply);
            }
        }
    }

    void heartbeat(std::uint64_t at, const std::string& vm,
                   std::uint64_t number, std::uint64_t echo)
    {
        proto::Incarnation from;
        from.set_vm(vm);
        from.set_number(number);
        proto::Heartbeat heartbeat;
        heartbeat.set_echo_us(echo * 1000);
        members_.on_heartbeat(ms(at), from, heartbeat);
    }

    identity self_{"a", "dc", 1};
    membership members_{self_, {}};
    outbox out_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace tanagerhoist

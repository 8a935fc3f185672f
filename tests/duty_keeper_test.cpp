#include "fake_row_store.hpp"
#include "proxy_fixture.hpp"
#include "tanagerhoist/fleet/duty_keeper.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{
namespace
{

proto::MemberRow member(const std::string& vm, std::uint64_t life)
{
    proto::MemberRow row;
    row.set_vm(vm);
    row.set_life(life);
    return row;
}

struct two_keepers
{
    moment now{std::chrono::hours(1)};
    fake_row_store store{now};
    silent_journal lines;
    duty_keeper a{store, member("a", 1), [this] { return now; }, lines};
    duty_keeper b{store, member("b", 2), [this] { return now; }, lines};
    const moment never{};
};

} // namespace

class duty_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(duty_keeper_test);
    CPPUNIT_TEST(first_to_look_holds_the_duty);
    CPPUNIT_TEST(second_waits_until_the_lease_has_ended);
    CPPUNIT_TEST(smaller_vm_leaves_an_ended_lease_to_others_for_a_while);
    CPPUNIT_TEST(unclaimed_duty_is_left_to_others_for_a_while);
    CPPUNIT_TEST(token_rises_with_the_holder);
    CPPUNIT_TEST(renewing_holder_keeps_the_duty);
    CPPUNIT_TEST(holder_without_the_store_stops_before_its_lease_ends);
    CPPUNIT_TEST(frozen_holder_does_not_hold_when_it_wakes);
    CPPUNIT_TEST(lost_answer_of_a_renewal_is_resolved_by_the_row);
    CPPUNIT_TEST(lost_answer_of_a_take_over_is_resolved_by_the_row);
    CPPUNIT_TEST(resigned_duty_is_taken_at_once_with_its_balance);
    CPPUNIT_TEST_SUITE_END();

public:
    void first_to_look_holds_the_duty()
    {
        two_keepers f;
        f.a.step(f.never);
        f.b.step(f.never);
        CPPUNIT_ASSERT(f.a.holds(f.now));
        CPPUNIT_ASSERT(!f.b.holds(f.now));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), f.b.row().holder());
    }

    void second_waits_until_the_lease_has_ended()
    {
        two_keepers f;
        f.a.step(f.never);
        f.now += duty_lease - milliseconds(1);
        f.b.step(f.never);
        CPPUNIT_ASSERT(!f.b.holds(f.now));
        CPPUNIT_ASSERT(!f.a.holds(f.now)); // its margin is over
        f.now += milliseconds(1);
        f.b.step(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
    }

    void smaller_vm_leaves_an_ended_lease_to_others_for_a_while()
    {
        two_keepers f;
        const milliseconds patience(900);
        f.a.step(f.never);
        f.now += duty_lease + milliseconds(10);
        f.b.step(f.never, patience);
        CPPUNIT_ASSERT(!f.b.holds(f.now));
        f.now += patience;
        f.b.step(f.never, patience);
        CPPUNIT_ASSERT(f.b.holds(f.now));
    }

    void unclaimed_duty_is_left_to_others_for_a_while()
    {
        two_keepers f;
        f.a.step(f.never, milliseconds(600));
        CPPUNIT_ASSERT(!f.a.holds(f.now));
        CPPUNIT_ASSERT(!f.a.knows_holder());
        f.now += milliseconds(600);
        f.a.step(f.never, milliseconds(600));
        CPPUNIT_ASSERT(f.a.holds(f.now));
        CPPUNIT_ASSERT(f.a.knows_holder());
    }

    void token_rises_with_the_holder()
    {
        two_keepers f;
        f.a.step(f.never);
        const auto first = f.a.row().token();
        f.now += duty_lease;
        f.b.step(f.never);
        CPPUNIT_ASSERT(f.b.row().token() > first);
    }

    void renewing_holder_keeps_the_duty()
    {
        two_keepers f;
        f.a.step(f.never);
        for (int i = 0; i < 10; ++i)
        {
            f.now += duty_renewal;
            f.a.step(f.never);
            f.b.step(f.never);
            CPPUNIT_ASSERT(f.a.holds(f.now));
            CPPUNIT_ASSERT(!f.b.holds(f.now));
        }
    }

    void holder_without_the_store_stops_before_its_lease_ends()
    {
        two_keepers f;
        f.a.step(f.never);
        f.store.down = true;
        f.now += duty_lease - duty_margin;
        f.a.step(f.never);
        CPPUNIT_ASSERT(!f.a.holds(f.now));
    }

    void frozen_holder_does_not_hold_when_it_wakes()
    {
        two_keepers f;
        f.a.step(f.never);
        f.now += std::chrono::seconds(10);
        CPPUNIT_ASSERT(!f.a.holds(f.now));
        f.b.step(f.never);
        f.a.step(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
        CPPUNIT_ASSERT(!f.a.holds(f.now));
    }

    void lost_answer_of_a_renewal_is_resolved_by_the_row()
    {
        two_keepers f;
        f.a.step(f.never);
        f.now += duty_renewal;
        f.store.lose_next_answer = true;
        f.a.step(f.never); // done, not answered
        f.now += milliseconds(300);
        f.a.step(f.never); // in conflict with its own write
        f.a.step(f.never);
        f.now += duty_renewal;
        CPPUNIT_ASSERT(f.a.holds(f.now));
    }

    void lost_answer_of_a_take_over_is_resolved_by_the_row()
    {
        two_keepers f;
        f.store.lose_next_answer = true;
        f.a.step(f.never);
        CPPUNIT_ASSERT(!f.a.holds(f.now));
        f.a.step(f.never);
        CPPUNIT_ASSERT(f.a.holds(f.now));
        f.b.step(f.never);
        CPPUNIT_ASSERT(!f.b.holds(f.now));
    }

    void resigned_duty_is_taken_at_once_with_its_balance()
    {
        two_keepers f;
        f.a.step(f.never);
        proto::WorkspaceBalance left;
        left.set_workspace("w");
        left.set_operations(7);
        f.a.resign({left});
        CPPUNIT_ASSERT(!f.a.holds(f.now));
        f.b.step(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
        CPPUNIT_ASSERT_EQUAL(1, f.b.former().left_size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                             f.b.former().left(0).operations());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(duty_keeper_test);

} // namespace tanagerhoist

#include "fake_row_store.hpp"
#include "proxy_fixture.hpp"
#include "tanagerhoist/fleet/coordinator_lease.hpp"

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

struct two_vms
{
    moment now{std::chrono::hours(1)};
    fake_row_store store{now};
    null_log lines;
    coordinator_lease a{store, member("a", 1), [this] { return now; }, lines};
    coordinator_lease b{store, member("b", 2), [this] { return now; }, lines};
    const moment never{};
};

} // namespace

class coordinator_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(coordinator_lease_test);
    CPPUNIT_TEST(first_vm_acquires_lease);
    CPPUNIT_TEST(second_vm_waits_until_lease_expires);
    CPPUNIT_TEST(smaller_vm_delays_takeover_of_expired_lease);
    CPPUNIT_TEST(takeover_of_unclaimed_lease_is_delayed);
    CPPUNIT_TEST(token_increases_with_new_holder);
    CPPUNIT_TEST(renewing_holder_keeps_lease);
    CPPUNIT_TEST(holder_without_store_stops_before_lease_expires);
    CPPUNIT_TEST(frozen_holder_has_lost_lease_when_it_resumes);
    CPPUNIT_TEST(lost_answer_of_renewal_is_resolved_by_row);
    CPPUNIT_TEST(lost_answer_of_acquisition_is_resolved_by_row);
    CPPUNIT_TEST(released_lease_is_acquired_at_once_with_balance);
    CPPUNIT_TEST_SUITE_END();

public:
    void first_vm_acquires_lease()
    {
        two_vms f;
        f.a.update(f.never);
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.a.holds(f.now));
        CPPUNIT_ASSERT(!f.b.holds(f.now));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), f.b.row().holder());
    }

    void second_vm_waits_until_lease_expires()
    {
        two_vms f;
        f.a.update(f.never);
        f.now += coordinator_lease_duration - milliseconds(1);
        f.b.update(f.never);
        CPPUNIT_ASSERT(!f.b.holds(f.now));
        CPPUNIT_ASSERT(!f.a.holds(f.now)); // its margin has begun
        f.now += milliseconds(1);
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
    }

    void smaller_vm_delays_takeover_of_expired_lease()
    {
        two_vms f;
        const milliseconds takeover_delay(900);
        f.a.update(f.never);
        f.now += coordinator_lease_duration + milliseconds(10);
        f.b.update(f.never, takeover_delay);
        CPPUNIT_ASSERT(!f.b.holds(f.now));
        f.now += takeover_delay;
        f.b.update(f.never, takeover_delay);
        CPPUNIT_ASSERT(f.b.holds(f.now));
    }

    void takeover_of_unclaimed_lease_is_delayed()
    {
        two_vms f;
        f.a.update(f.never, milliseconds(600));
        CPPUNIT_ASSERT(!f.a.holds(f.now));
        CPPUNIT_ASSERT(!f.a.is_holder_known());
        f.now += milliseconds(600);
        f.a.update(f.never, milliseconds(600));
        CPPUNIT_ASSERT(f.a.holds(f.now));
        CPPUNIT_ASSERT(f.a.is_holder_known());
    }

    void token_increases_with_new_holder()
    {
        two_vms f;
        f.a.update(f.never);
        const auto first = f.a.row().token();
        f.now += coordinator_lease_duration;
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.b.row().token() > first);
    }

    void renewing_holder_keeps_lease()
    {
        two_vms f;
        f.a.update(f.never);
        for (int i = 0; i < 10; ++i)
        {
            f.now += coordinator_lease_renewal;
            f.a.update(f.never);
            f.b.update(f.never);
            CPPUNIT_ASSERT(f.a.holds(f.now));
            CPPUNIT_ASSERT(!f.b.holds(f.now));
        }
    }

    void holder_without_store_stops_before_lease_expires()
    {
        two_vms f;
        f.a.update(f.never);
        f.store.down = true;
        f.now += coordinator_lease_duration - coordinator_lease_margin;
        f.a.update(f.never);
        CPPUNIT_ASSERT(!f.a.holds(f.now));
    }

    void frozen_holder_has_lost_lease_when_it_resumes()
    {
        two_vms f;
        f.a.update(f.never);
        f.now += std::chrono::seconds(10);
        CPPUNIT_ASSERT(!f.a.holds(f.now));
        f.b.update(f.never);
        f.a.update(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
        CPPUNIT_ASSERT(!f.a.holds(f.now));
    }

    void lost_answer_of_renewal_is_resolved_by_row()
    {
        two_vms f;
        f.a.update(f.never);
        f.now += coordinator_lease_renewal;
        f.store.lose_next_answer = true;
        f.a.update(f.never); // written, but the answer is lost
        f.now += milliseconds(300);
        f.a.update(f.never); // conflicts with its own write
        f.a.update(f.never);
        f.now += coordinator_lease_renewal;
        CPPUNIT_ASSERT(f.a.holds(f.now));
    }

    void lost_answer_of_acquisition_is_resolved_by_row()
    {
        two_vms f;
        f.store.lose_next_answer = true;
        f.a.update(f.never);
        CPPUNIT_ASSERT(!f.a.holds(f.now));
        f.a.update(f.never);
        CPPUNIT_ASSERT(f.a.holds(f.now));
        f.b.update(f.never);
        CPPUNIT_ASSERT(!f.b.holds(f.now));
    }

    void released_lease_is_acquired_at_once_with_balance()
    {
        two_vms f;
        f.a.update(f.never);
        proto::WorkspaceBalance left;
        left.set_workspace("w");
        left.set_operations(7);
        f.a.release({left});
        CPPUNIT_ASSERT(!f.a.holds(f.now));
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
        CPPUNIT_ASSERT_EQUAL(1, f.b.former().left_size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                             f.b.former().left(0).operations());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(coordinator_lease_test);

} // namespace tanagerhoist

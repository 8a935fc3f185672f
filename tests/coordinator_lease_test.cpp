#include "coordinator_lease_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class coordinator_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(coordinator_lease_test);
    CPPUNIT_TEST(first_vm_acquires_lease);
    CPPUNIT_TEST(second_vm_waits_until_lease_expires);
    CPPUNIT_TEST(smaller_vm_delays_takeover_of_expired_lease);
    CPPUNIT_TEST(takeover_of_unclaimed_lease_is_delayed);
    CPPUNIT_TEST(restarted_holder_takes_its_lease_with_any_delay);
    CPPUNIT_TEST(token_increases_with_new_holder);
    CPPUNIT_TEST(renewing_holder_keeps_lease);
    CPPUNIT_TEST(holder_without_store_stops_before_lease_expires);
    CPPUNIT_TEST(frozen_holder_has_lost_lease_when_it_resumes);
    CPPUNIT_TEST(holder_frozen_before_its_write_has_no_longer_claim);
    CPPUNIT_TEST(holder_frozen_before_its_renewal_has_no_longer_claim);
    CPPUNIT_TEST(late_write_of_former_holder_is_refused);
    CPPUNIT_TEST(late_write_of_former_term_is_refused);
    CPPUNIT_TEST(renewal_leaves_writes_of_the_term_valid);
    CPPUNIT_TEST(term_ends_when_token_rises_with_the_era);
    CPPUNIT_TEST(term_that_ended_before_its_renewal_was_answered_stays_over);
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

    void restarted_holder_takes_its_lease_with_any_delay()
    {
        two_vms f;
        const milliseconds longest = std::chrono::hours(24);
        f.a.update(f.never);
        coordinator_lease again(
            f.store, member("a", 9), [&f] { return f.now; }, f.lines);
        f.now += std::chrono::seconds(9);
        f.b.update(f.never, longest);
        CPPUNIT_ASSERT(!f.b.holds(f.now));
        again.update(f.never, longest);
        CPPUNIT_ASSERT(again.holds(f.now));
        CPPUNIT_ASSERT(again.row().token() > f.a.row().token());
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
        f.plain.down = true;
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

    void holder_frozen_before_its_write_has_no_longer_claim()
    {
        two_vms f;
        f.plain.on_write = [&f] { f.now += std::chrono::seconds(2); };
        const auto row_dated = f.now;
        f.a.update(f.never);
        f.plain.on_write = nullptr;
        f.now = row_dated + coordinator_lease_duration + milliseconds(1);
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
        CPPUNIT_ASSERT(!f.a.holds(f.now));
    }

    void holder_frozen_before_its_renewal_has_no_longer_claim()
    {
        two_vms f;
        f.a.update(f.never);
        f.now += coordinator_lease_renewal;
        f.plain.on_write = [&f] { f.now += std::chrono::seconds(1); };
        const auto row_dated = f.now;
        f.a.update(f.never);
        f.plain.on_write = nullptr;
        f.now = row_dated + coordinator_lease_duration + milliseconds(1);
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
        CPPUNIT_ASSERT(!f.a.holds(f.now));
    }

    void late_write_of_former_holder_is_refused()
    {
        two_vms f;
        f.a.update(f.never);
        const auto term = *f.a.term();
        f.now += coordinator_lease_duration;
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.write_in(term) == store_result::conflict);
        CPPUNIT_ASSERT(f.remove_in(term) == store_result::conflict);
        CPPUNIT_ASSERT(f.write_in(*f.b.term()) == store_result::done);
        CPPUNIT_ASSERT(f.remove_in(*f.b.term()) == store_result::done);
    }

    void late_write_of_former_term_is_refused()
    {
        two_vms f;
        f.a.update(f.never);
        const auto term = *f.a.term();
        f.now += coordinator_lease_duration;
        f.a.update(f.never);
        CPPUNIT_ASSERT(f.a.holds(f.now));
        CPPUNIT_ASSERT(!f.a.is_current(term));
        CPPUNIT_ASSERT(f.write_in(term) == store_result::conflict);
    }

    void renewal_leaves_writes_of_the_term_valid()
    {
        two_vms f;
        f.a.update(f.never);
        const auto term = *f.a.term();
        f.now += coordinator_lease_renewal;
        f.a.update(f.never);
        CPPUNIT_ASSERT(f.a.is_current(term));
        CPPUNIT_ASSERT(f.write_in(term) == store_result::done);
    }

    void term_ends_when_token_rises_with_the_era()
    {
        two_vms f;
        f.a.update(f.never);
        const auto term = *f.a.term();
        f.plain.take_copy();
        f.plain.restore();
        f.a.update(f.never);
        f.a.update(f.never);
        CPPUNIT_ASSERT(f.a.holds(f.now));
        CPPUNIT_ASSERT(!f.a.is_current(term));
        CPPUNIT_ASSERT(f.write_in(*f.a.term()) == store_result::done);
    }

    void term_that_ended_before_its_renewal_was_answered_stays_over()
    {
        two_vms f;
        f.a.update(f.never);
        const auto term = *f.a.term();
        f.now += milliseconds(1800);
        f.plain.on_write = [&f] { f.now += milliseconds(600); };
        f.a.update(f.never);
        f.plain.on_write = nullptr;
        CPPUNIT_ASSERT(!f.a.is_current(term));
        f.a.update(f.never);
        CPPUNIT_ASSERT(f.a.holds(f.now));
        CPPUNIT_ASSERT(!f.a.is_current(term));
    }

    void lost_answer_of_renewal_is_resolved_by_row()
    {
        two_vms f;
        f.a.update(f.never);
        f.now += coordinator_lease_renewal;
        f.plain.lose_next_answer = true;
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
        f.plain.lose_next_answer = true;
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

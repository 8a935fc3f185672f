#include "tanagerhoist/fleet/member_registration.hpp"

#include "fake_row_store.hpp"
#include "member_rows.hpp"
#include "tanagerhoist/fleet/fleet_members.hpp"
#include "tanagerhoist/session/primary_lease.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{
namespace
{

struct registered_vm
{
    registered_vm()
    {
        subject.use_read(store.read(member_table, ""), 0);
        subject.write({});
    }

    /// The VM's row as other VMs read it.
    proto::MemberRow stored()
    {
        proto::MemberRow row;
        const auto read = store.read(member_table, "");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.rows.size());
        CPPUNIT_ASSERT(row.ParseFromString(read.rows.front().value));
        return row;
    }

    moment now{std::chrono::hours(1)};
    fake_row_store store{now};
    member_registration subject{store, member("a", 1), [this] { return now; }};
};

} // namespace

class member_registration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(member_registration_test);
    CPPUNIT_TEST(vm_frozen_before_its_renewal_has_no_longer_lease);
    CPPUNIT_TEST(stopping_vm_removes_its_row);
    CPPUNIT_TEST(late_removal_of_former_process_leaves_the_new_row);
    CPPUNIT_TEST(row_renewed_without_an_answer_is_removed);
    CPPUNIT_TEST_SUITE_END();

public:
    void vm_frozen_before_its_renewal_has_no_longer_lease()
    {
        registered_vm f;
        f.now += primary_lease_renewal;
        f.store.on_write = [&f] { f.now += std::chrono::seconds(4); };
        const auto renewal = f.subject.write({});
        const auto end = renewal.lease_from + primary_lease_duration;
        // The store's clock is this VM's clock here.
        const auto others_expect =
            milliseconds(f.stored().store_ms()) + primary_lease_duration;
        CPPUNIT_ASSERT(end.time_since_epoch() <= others_expect);
    }

    void stopping_vm_removes_its_row()
    {
        registered_vm f;
        CPPUNIT_ASSERT(f.subject.remove(f.store) == store_result::done);
        CPPUNIT_ASSERT(f.store.read(member_table, "").rows.empty());
    }

    void late_removal_of_former_process_leaves_the_new_row()
    {
        registered_vm f;
        member_registration next(f.store, member("a", 2),
                                 [&f] { return f.now; });
        next.use_read(f.store.read(member_table, ""), f.subject.version());
        next.write({});
        CPPUNIT_ASSERT(f.subject.remove(f.store) == store_result::conflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, f.stored().life());
    }

    void row_renewed_without_an_answer_is_removed()
    {
        registered_vm f;
        f.store.lose_next_answer = true;
        f.subject.write({});
        CPPUNIT_ASSERT(f.subject.remove(f.store) == store_result::done);
        CPPUNIT_ASSERT(f.store.read(member_table, "").rows.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_registration_test);

} // namespace tanagerhoist

#include "tanagerhoist/fleet/fleet_members.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class fleet_members_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_members_test);
    CPPUNIT_TEST(vm_lost_with_the_store_is_kept_while_rows_are_incomplete);
    CPPUNIT_TEST(renewal_lost_with_the_store_is_kept);
    CPPUNIT_TEST(vm_missing_from_complete_rows_is_gone);
    CPPUNIT_TEST(row_of_returned_vm_survives_a_late_removal);
    CPPUNIT_TEST_SUITE_END();

    static fleet_member member(std::uint64_t version, std::uint64_t renewed_ms)
    {
        fleet_member made;
        made.version = version;
        made.row.set_store_ms(renewed_ms);
        return made;
    }

    fleet_members subject_;

public:
    void vm_lost_with_the_store_is_kept_while_rows_are_incomplete()
    {
        subject_.replace({{"a", member(3, 100)}, {"b", member(4, 200)}});
        subject_.read_at = moment(milliseconds(1000));
        subject_.incomplete_until = moment(milliseconds(2000));
        subject_.replace({{"a", member(9, 300)}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, subject_.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, subject_.rows.at("b").version);
    }

    void renewal_lost_with_the_store_is_kept()
    {
        subject_.replace({{"a", member(3, 900)}});
        subject_.read_at = moment(milliseconds(1000));
        subject_.incomplete_until = moment(milliseconds(2000));
        subject_.replace({{"a", member(9, 300)}});
        const auto& kept = subject_.rows.at("a");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{900}, kept.row.store_ms());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, kept.version);
    }

    void vm_missing_from_complete_rows_is_gone()
    {
        subject_.replace({{"a", member(3, 100)}});
        subject_.read_at = moment(milliseconds(2000));
        subject_.incomplete_until = moment(milliseconds(2000));
        subject_.replace({});
        CPPUNIT_ASSERT(subject_.rows.empty());
    }

    void row_of_returned_vm_survives_a_late_removal()
    {
        subject_.replace({{"a", member(3, 100)}, {"b", member(4, 100)}});
        subject_.replace({{"a", member(9, 300)}, {"b", member(4, 100)}});
        subject_.forget("a", 3);
        subject_.forget("b", 4);
        subject_.forget("c", 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, subject_.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, subject_.rows.at("a").version);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_members_test);

} // namespace tanagerhoist

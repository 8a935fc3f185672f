#include "tanagerhoist/fleet/allowance_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{
namespace
{

proto::OperationHandover handover(const std::string& vm, std::uint64_t sequence,
                                  std::uint64_t millionths,
                                  std::uint64_t missing)
{
    proto::OperationHandover made;
    made.set_vm(vm);
    made.set_life(1);
    made.set_sequence(sequence);
    made.set_token(1);
    auto& operations = *made.add_operations();
    operations.set_workspace("w");
    operations.set_millionths(millionths);
    operations.set_missing(missing);
    return made;
}

} // namespace

class allowance_pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(allowance_pool_test);
    CPPUNIT_TEST(parts_of_two_vms_make_one_operation);
    CPPUNIT_TEST(repeated_handover_counts_once);
    CPPUNIT_TEST(late_handover_of_former_process_counts_once);
    CPPUNIT_TEST(old_operations_are_dropped_but_one);
    CPPUNIT_TEST(operations_above_the_limit_are_dropped);
    CPPUNIT_TEST(newer_coordinator_empties_the_pool);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { settings_.workspaces["w"] = {20, 20}; }

    void parts_of_two_vms_make_one_operation()
    {
        CPPUNIT_ASSERT_EQUAL(0U, granted(handover("a", 1, 600000, 1)));
        CPPUNIT_ASSERT_EQUAL(1U, granted(handover("b", 1, 600000, 1)));
        CPPUNIT_ASSERT_EQUAL(0U, granted(handover("a", 2, 0, 1)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, pool_.handed());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, pool_.granted());
    }

    void repeated_handover_counts_once()
    {
        granted(handover("a", 2, 600000, 0));
        proto::HandoverReply reply;
        for (const std::uint64_t sequence : {1, 2})
        {
            CPPUNIT_ASSERT(!pool_.use_handover(
                now_, settings_, handover("a", sequence, 600000, 1), reply));
        }
        CPPUNIT_ASSERT_EQUAL(0U, granted(handover("b", 1, 0, 1)));
    }

    void late_handover_of_former_process_counts_once()
    {
        granted(handover("a", 2, 600000, 0));
        auto restarted = handover("a", 1, 0, 0);
        restarted.set_life(2);
        granted(restarted);
        proto::HandoverReply reply;
        CPPUNIT_ASSERT(!pool_.use_handover(now_, settings_,
                                           handover("a", 2, 600000, 0), reply));
        CPPUNIT_ASSERT_EQUAL(0U, granted(handover("b", 1, 0, 1)));
    }

    void old_operations_are_dropped_but_one()
    {
        granted(handover("a", 1, 2500000, 0));
        now_ += handed_lifetime;
        CPPUNIT_ASSERT_EQUAL(1U, granted(handover("b", 1, 0, 5)));
    }

    void operations_above_the_limit_are_dropped()
    {
        granted(handover("a", 1, 900 * token_unit, 0));
        // 0.8 of the burst of 20 and a quarter of the excess of 32, less 0.2 s.
        CPPUNIT_ASSERT_EQUAL(20U, granted(handover("b", 1, 0, 900)));
    }

    void newer_coordinator_empties_the_pool()
    {
        granted(handover("a", 1, 3 * token_unit, 0));
        pool_.use_token(2);
        CPPUNIT_ASSERT_EQUAL(0U, granted(handover("b", 1, 0, 1)));
    }

private:
    unsigned granted(const proto::OperationHandover& message)
    {
        proto::HandoverReply reply;
        CPPUNIT_ASSERT(pool_.use_handover(now_, settings_, message, reply));
        return reply.grants_size() == 0
                   ? 0
                   : static_cast<unsigned>(reply.grants(0).operations());
    }

    session_settings settings_;
    allowance_pool pool_{limit_tolerance{}};
    moment now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(allowance_pool_test);

} // namespace tanagerhoist

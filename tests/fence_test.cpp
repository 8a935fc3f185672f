#include "tanagerhoist/decision/fence.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{
namespace
{

moment at(int ms)
{
    return moment(milliseconds(ms));
}

constexpr int tick_ms = 50;

/// Ticks from `from` to `to`, in milliseconds, with constant evidence.
void run(fence& f, int from, int to, int contact, bool majority)
{
    for (int t = from; t <= to; t += tick_ms)
    {
        f.on_tick(at(t), at(contact), majority);
    }
}

} // namespace

class fence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fence_test);
    CPPUNIT_TEST(new_vm_without_evidence_refuses);
    CPPUNIT_TEST(isolated_vm_refuses_after_window);
    CPPUNIT_TEST(platform_outage_with_majority_keeps_serving);
    CPPUNIT_TEST(minority_with_platform_keeps_serving);
    CPPUNIT_TEST(frozen_vm_refuses_before_its_next_tick);
    CPPUNIT_TEST(resumed_vm_needs_read_sent_after_freeze);
    CPPUNIT_TEST(resumed_vm_ignores_majority_for_one_window);
    CPPUNIT_TEST_SUITE_END();

public:
    void new_vm_without_evidence_refuses()
    {
        fence f;
        CPPUNIT_ASSERT(!f.may_serve(at(0)));
        run(f, 0, 1000, 0, false);
        CPPUNIT_ASSERT(!f.may_serve(at(1000)));
        f.on_tick(at(1050), at(0), true);
        CPPUNIT_ASSERT(f.may_serve(at(1050)));
    }

    void isolated_vm_refuses_after_window()
    {
        fence f;
        run(f, 1000, 2500, 1000, false);
        CPPUNIT_ASSERT(f.may_serve(at(2500)));
        CPPUNIT_ASSERT(!f.may_serve(at(2501)));
        f.on_tick(at(2550), at(2540), false);
        CPPUNIT_ASSERT(f.may_serve(at(2550)));
    }

    void platform_outage_with_majority_keeps_serving()
    {
        fence f;
        run(f, 1000, 60000, 1000, true);
        CPPUNIT_ASSERT(f.may_serve(at(60000)));
        f.on_tick(at(60050), at(1000), false);
        CPPUNIT_ASSERT(!f.may_serve(at(60050)));
    }

    void minority_with_platform_keeps_serving()
    {
        fence f;
        for (int t = 1000; t <= 10000; t += tick_ms)
        {
            f.on_tick(at(t), at(t - 500), false);
            CPPUNIT_ASSERT(f.may_serve(at(t)));
        }
    }

    void frozen_vm_refuses_before_its_next_tick()
    {
        fence f;
        run(f, 1000, 1200, 1000, true);
        CPPUNIT_ASSERT(f.may_serve(at(1700)));
        CPPUNIT_ASSERT(!f.may_serve(at(1701)));
    }

    void resumed_vm_needs_read_sent_after_freeze()
    {
        fence f;
        run(f, 1000, 1200, 1200, false);
        // The reply to a read that was sent before the freeze arrives.
        f.on_tick(at(2000), at(1200), false);
        CPPUNIT_ASSERT(!f.may_serve(at(2000)));
        f.on_tick(at(2050), at(2000), false);
        CPPUNIT_ASSERT(f.may_serve(at(2050)));
    }

    void resumed_vm_ignores_majority_for_one_window()
    {
        fence f;
        run(f, 1000, 1200, 0, true);
        run(f, 9000, 10500, 0, true);
        CPPUNIT_ASSERT(!f.may_serve(at(10500)));
        f.on_tick(at(10550), at(0), true);
        CPPUNIT_ASSERT(f.may_serve(at(10550)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fence_test);

} // namespace tanagerhoist

#include "tanagerhoist/session/workspace_limits.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{
namespace
{

struct limits_fixture
{
    limits_fixture()
    {
        settings.workspaces["w"] = {50, 50};
        subject.use_settings(now, settings);
        subject.use_members(now, 7);
    }

    int take(int tries)
    {
        int taken = 0;
        for (int i = 0; i < tries; ++i)
        {
            taken += subject.take(now, "w") ? 1 : 0;
        }
        return taken;
    }

    void grant(std::uint64_t operations, bool calm, bool exhausted = false)
    {
        workspace_limits::grants given;
        auto& one = *given.Add();
        one.set_workspace("w");
        one.set_operations(operations);
        one.set_calm(calm);
        one.set_standalone_per_1000s(calm ? 12'500 : 0);
        one.set_standalone_at_once(calm ? 3 : 0);
        one.set_exhausted(exhausted);
        one.set_empty(exhausted);
        subject.use_grants(now, given);
    }

    moment now{std::chrono::hours(1)};
    session_settings settings;
    workspace_limits subject;
};

} // namespace

class workspace_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(workspace_limits_test);
    CPPUNIT_TEST(started_vm_admits_its_even_share_at_once);
    CPPUNIT_TEST(granted_operations_are_used_once);
    CPPUNIT_TEST(missing_operations_are_reported);
    CPPUNIT_TEST(requests_to_an_exhausted_fleet_are_rate_limited);
    CPPUNIT_TEST(stock_without_callers_goes_back);
    CPPUNIT_TEST(
        workspace_below_its_limit_is_admitted_when_the_coordinator_is_lost);
    CPPUNIT_TEST(
        workspace_below_its_limit_is_admitted_when_a_request_is_not_answered);
    CPPUNIT_TEST(vm_of_a_large_fleet_has_no_even_share);
    CPPUNIT_TEST(busy_workspace_is_not_admitted_when_the_coordinator_is_lost);
    CPPUNIT_TEST(refusal_tells_why);
    CPPUNIT_TEST(callers_come_back_when_a_coordinator_can_be_expected);
    CPPUNIT_TEST(lower_limit_drops_what_was_granted);
    CPPUNIT_TEST(split_of_a_window_stays_inside_the_operator_s_bound);
    CPPUNIT_TEST_SUITE_END();

    /// Requests ten operations per second for three seconds, all granted.
    static void use_for_a_while(limits_fixture& f, bool calm)
    {
        for (int i = 0; i < 30; ++i)
        {
            f.now += milliseconds(100);
            f.subject.take(f.now, "w");
            f.subject.demand(f.now);
            f.grant(1, calm);
        }
        f.take(100); // exhausts the stock
    }

    static int taken_without_coordinator(limits_fixture& f)
    {
        f.now += milliseconds(1300);
        int taken = 0;
        for (int i = 0; i < 20; ++i)
        {
            f.now += milliseconds(100);
            taken += f.take(1);
        }
        return taken;
    }

public:
    void started_vm_admits_its_even_share_at_once()
    {
        limits_fixture f;
        CPPUNIT_ASSERT_EQUAL(1, f.take(20));
        f.now += std::chrono::seconds(1);
        CPPUNIT_ASSERT_EQUAL(1, f.take(20));
    }

    void granted_operations_are_used_once()
    {
        limits_fixture f;
        f.grant(5, true);
        CPPUNIT_ASSERT_EQUAL(6, f.take(20));
        CPPUNIT_ASSERT_EQUAL(0, f.take(20));
    }

    void missing_operations_are_reported()
    {
        limits_fixture f;
        f.take(4);
        for (int i = 0; i < 3; ++i)
        {
            f.subject.note_held("w");
        }
        CPPUNIT_ASSERT(f.subject.needs_grant(f.now));
        const auto missing = f.subject.missing(f.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, missing.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, missing.front().missing());
        CPPUNIT_ASSERT(f.subject.missing(f.now).empty());
    }

    void requests_to_an_exhausted_fleet_are_rate_limited()
    {
        limits_fixture f;
        f.subject.use_members(f.now, 100);
        f.grant(0, false, true);
        int requests = 0;
        for (int i = 0; i < 1000; ++i)
        {
            f.now += milliseconds(1);
            f.take(1);
            if (f.subject.needs_grant(f.now))
            {
                f.subject.missing(f.now);
                ++requests;
            }
        }
        CPPUNIT_ASSERT(requests >= 1);
        CPPUNIT_ASSERT(requests <= 11); // of 100 VMs: 1,000 a second
    }

    void stock_without_callers_goes_back()
    {
        limits_fixture f;
        f.take(1);
        f.grant(10, true);
        f.now += std::chrono::seconds(6);
        const auto told = f.subject.demand(f.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, told.front().returned());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, told.front().stock());
    }

    void workspace_below_its_limit_is_admitted_when_the_coordinator_is_lost()
    {
        limits_fixture f;
        use_for_a_while(f, true);
        CPPUNIT_ASSERT(taken_without_coordinator(f) >= 15);
        f.now += std::chrono::seconds(10); // longer than the fallback lasts
        f.take(20);
        CPPUNIT_ASSERT_EQUAL(0, f.take(20));
    }

    void workspace_below_its_limit_is_admitted_when_a_request_is_not_answered()
    {
        limits_fixture f;
        use_for_a_while(f, true);
        f.subject.missing(f.now); // request without an answer
        f.now += milliseconds(100);
        CPPUNIT_ASSERT_EQUAL(0, f.take(1));
        f.now += milliseconds(100);
        CPPUNIT_ASSERT_EQUAL(1, f.take(1));
    }

    void vm_of_a_large_fleet_has_no_even_share()
    {
        limits_fixture f;
        f.subject.use_members(f.now, 83);
        f.take(20);
        f.now += std::chrono::seconds(100);
        CPPUNIT_ASSERT_EQUAL(0, f.take(20));
        f.grant(1, false);
        CPPUNIT_ASSERT_EQUAL(1, f.take(20));
    }

    void busy_workspace_is_not_admitted_when_the_coordinator_is_lost()
    {
        limits_fixture f;
        use_for_a_while(f, false);
        CPPUNIT_ASSERT(taken_without_coordinator(f) <= 6);
    }

    void refusal_tells_why()
    {
        limits_fixture f;
        f.subject.use_members(f.now, 195);
        const auto cause = [&f]
        { return f.subject.refusal(f.now, "w", 0).cause; };
        CPPUNIT_ASSERT(cause() == limit_cause::no_coordinator); // none yet
        f.grant(0, false, true);
        CPPUNIT_ASSERT(cause() == limit_cause::over_rate);
        f.grant(0, false, false);
        CPPUNIT_ASSERT(cause() == limit_cause::no_grant);
        f.now += std::chrono::seconds(2);
        CPPUNIT_ASSERT(cause() == limit_cause::no_coordinator);
    }

    /// Load pattern: all callers of a large fleet are refused while it has no
    /// coordinator. Target: they come back over a second, after it has one.
    void callers_come_back_when_a_coordinator_can_be_expected()
    {
        limits_fixture f;
        f.subject.use_members(f.now, 195);
        f.grant(0, false, false);
        const auto at = [&f](milliseconds silence, double part)
        { return f.subject.refusal(f.now + silence, "w", part).retry; };
        for (const double part : {0.0, 0.5, 0.99})
        {
            const milliseconds silence(1300);
            const auto back = silence + at(silence, part);
            CPPUNIT_ASSERT(back >= milliseconds(3500));
            CPPUNIT_ASSERT(back <= milliseconds(4500));
        }
        CPPUNIT_ASSERT(at(milliseconds(9000), 0) <= milliseconds(200));
        CPPUNIT_ASSERT(at(milliseconds(9000), 0.9) >= milliseconds(1000));
    }

    void lower_limit_drops_what_was_granted()
    {
        limits_fixture f;
        f.grant(30, true);
        f.settings.workspaces["w"] = {5, 5};
        f.subject.use_settings(f.now, f.settings);
        CPPUNIT_ASSERT(f.take(40) <= 1);
    }

    void split_of_a_window_stays_inside_the_operator_s_bound()
    {
        const limit_tolerance tolerance;
        for (const double rate : {1.0, 10.0, 131.0, 5000.0})
        {
            const session_workspace workspace{rate, rate};
            const auto allowed = allowance_of(workspace, tolerance);
            const double window = 5;
            const double bound = (rate * window + rate) * 1.1 + 20;
            CPPUNIT_ASSERT(allowed.capacity + allowed.rate * window < bound);
            CPPUNIT_ASSERT(allowed.rate >= rate);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspace_limits_test);

} // namespace tanagerhoist

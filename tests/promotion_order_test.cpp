#include "fake_row_store.hpp"
#include "member_rows.hpp"
#include "proxy_fixture.hpp"
#include "tanagerhoist/fleet/era_row_store.hpp"
#include "tanagerhoist/fleet/promotion_order.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace tanagerhoist
{
namespace
{

/// Two VMs, of which the first is the coordinator and orders a promotion over a
/// connection that takes some time to open.
struct ordering_vm : promotion_connection
{
    ordering_vm()
    {
        a.update(never);
        term = *a.term();
    }

    bool open() override
    {
        now += opening_time;
        return opens;
    }

    promotion_result send(const promotion_request& request,
                          const promotion_limits& limits) override
    {
        sent.push_back(request);
        latest_arrival = now + limits.delivery;
        latest_answer = now + limits.answer;
        return answer;
    }

    promotion_result order() { return order_as(a, term); }

    promotion_result order_as(coordinator_lease& lease,
                              const coordinator_term& in)
    {
        return order_promotion(*this, lease, in, {"g", "r", "a", 0}, lines);
    }

    /// Lets time pass, in which the holder renews its lease.
    void renew_until(coordinator_lease& lease, moment end)
    {
        while (now < end)
        {
            now = std::min(now + coordinator_lease_renewal, end);
            lease.update(never);
        }
    }

    moment now{std::chrono::hours(1)};
    fake_row_store plain{now};
    era_row_store store{plain};
    null_log lines;
    coordinator_lease a{store, member("a", 1), [this] { return now; }, lines};
    coordinator_lease b{store, member("b", 2), [this] { return now; }, lines};
    const moment never{};
    coordinator_term term;
    milliseconds opening_time{0};
    bool opens = true;
    promotion_result answer = promotion_result::accepted;
    std::vector<promotion_request> sent;
    moment latest_arrival{};
    moment latest_answer{};
};

} // namespace

class promotion_order_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(promotion_order_test);
    CPPUNIT_TEST(order_in_term_carries_its_token);
    CPPUNIT_TEST(order_is_not_sent_when_lease_ends_while_connecting);
    CPPUNIT_TEST(order_is_not_sent_with_the_successors_token);
    CPPUNIT_TEST(order_is_not_sent_in_a_later_term_of_the_same_vm);
    CPPUNIT_TEST(order_read_late_comes_before_another_vm_can_take_the_lease);
    CPPUNIT_TEST(order_late_in_the_term_waits_for_the_renewal);
    CPPUNIT_TEST(order_just_before_the_renewal_is_sent);
    CPPUNIT_TEST(order_without_connection_is_not_sent);
    CPPUNIT_TEST(order_of_killed_process_may_be_read_after_that_of_the_next);
    CPPUNIT_TEST(order_of_ended_term_may_be_read_after_that_of_the_next);
    CPPUNIT_TEST(order_of_former_era_may_be_read_after_that_of_the_next);
    CPPUNIT_TEST(order_without_answer_may_be_read_after_a_release);
    CPPUNIT_TEST(successor_of_an_expired_lease_orders_at_once);
    CPPUNIT_TEST(successor_of_a_released_lease_orders_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void order_in_term_carries_its_token()
    {
        ordering_vm f;
        CPPUNIT_ASSERT(f.order() == promotion_result::accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.sent.size());
        CPPUNIT_ASSERT_EQUAL(f.a.row().token(), f.sent.front().token);
    }

    void order_is_not_sent_when_lease_ends_while_connecting()
    {
        ordering_vm f;
        f.opening_time = coordinator_lease_duration - coordinator_lease_margin;
        CPPUNIT_ASSERT(f.order() == promotion_result::term_over);
        CPPUNIT_ASSERT(f.sent.empty());
    }

    void order_is_not_sent_with_the_successors_token()
    {
        ordering_vm f;
        f.now += std::chrono::seconds(4); // a is frozen
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
        f.a.update(f.never); // reads the successor's row
        CPPUNIT_ASSERT_EQUAL(f.b.row().token(), f.a.row().token());
        CPPUNIT_ASSERT(f.order() == promotion_result::term_over);
        CPPUNIT_ASSERT(f.sent.empty());
    }

    void order_is_not_sent_in_a_later_term_of_the_same_vm()
    {
        ordering_vm f;
        f.now += std::chrono::seconds(4);
        f.a.update(f.never);
        CPPUNIT_ASSERT(f.a.holds(f.now));
        CPPUNIT_ASSERT(f.a.term()->token > f.term.token);
        CPPUNIT_ASSERT(f.order() == promotion_result::term_over);
        CPPUNIT_ASSERT(f.sent.empty());
    }

    /// The platform may read an order late that it received in time. However
    /// late in the term it is due, it leaves time for that, or does not leave.
    void order_read_late_comes_before_another_vm_can_take_the_lease()
    {
        constexpr milliseconds reading_time{1200};
        int sent = 0;
        for (milliseconds opening{0}; opening < coordinator_lease_duration;
             opening += milliseconds(50))
        {
            ordering_vm f;
            f.opening_time = opening;
            f.order();
            if (f.sent.empty())
            {
                continue;
            }
            ++sent;
            CPPUNIT_ASSERT(f.latest_arrival > f.now);
            CPPUNIT_ASSERT(f.latest_answer <
                           f.now + coordinator_lease_duration);
            f.now = std::max(f.latest_arrival + reading_time,
                             f.latest_answer + coordinator_lease_margin) -
                    milliseconds(1);
            f.b.update(f.never);
            CPPUNIT_ASSERT(!f.b.holds(f.now));
        }
        constexpr int steps_until_renewal = 18; // of 50 ms
        CPPUNIT_ASSERT(sent >= steps_until_renewal);
    }

    void order_late_in_the_term_waits_for_the_renewal()
    {
        ordering_vm f;
        f.now += coordinator_lease_duration - coordinator_lease_margin -
                 milliseconds(700);
        CPPUNIT_ASSERT(f.a.is_current(f.term));
        CPPUNIT_ASSERT(f.order() == promotion_result::not_sent);
        CPPUNIT_ASSERT(f.sent.empty());
        f.a.update(f.never);
        CPPUNIT_ASSERT(f.order() == promotion_result::accepted);
    }

    /// A holder that renews in time never waits.
    void order_just_before_the_renewal_is_sent()
    {
        ordering_vm f;
        f.now += coordinator_lease_renewal;
        CPPUNIT_ASSERT(f.order() == promotion_result::accepted);
    }

    void order_without_connection_is_not_sent()
    {
        ordering_vm f;
        f.opens = false;
        CPPUNIT_ASSERT(f.order() == promotion_result::not_sent);
        CPPUNIT_ASSERT(f.sent.empty());
    }

    /// A VM that is killed and starts at once takes its own lease over.
    void order_of_killed_process_may_be_read_after_that_of_the_next()
    {
        ordering_vm f;
        const auto former_claim_end = f.now + coordinator_lease_duration;
        f.order();
        f.now += milliseconds(100);
        coordinator_lease again(
            f.store, member("a", 9), [&f] { return f.now; }, f.lines);
        again.update(f.never);
        const auto term = *again.term();
        CPPUNIT_ASSERT(f.order_as(again, term) == promotion_result::not_sent);
        f.renew_until(again, former_claim_end - milliseconds(1));
        CPPUNIT_ASSERT(f.order_as(again, term) == promotion_result::not_sent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.sent.size());
        f.now = former_claim_end;
        CPPUNIT_ASSERT(f.order_as(again, term) == promotion_result::accepted);
    }

    /// A VM whose term ended takes the lease again before others may.
    void order_of_ended_term_may_be_read_after_that_of_the_next()
    {
        ordering_vm f;
        const auto former_claim_end = f.now + coordinator_lease_duration;
        f.order();
        f.now = former_claim_end - coordinator_lease_margin;
        f.a.update(f.never);
        const auto next = f.a.term();
        CPPUNIT_ASSERT(next && next->token > f.term.token);
        CPPUNIT_ASSERT(f.order_as(f.a, *next) == promotion_result::not_sent);
        f.now = former_claim_end;
        CPPUNIT_ASSERT(f.order_as(f.a, *next) == promotion_result::accepted);
    }

    /// A holder whose lease outlives a restore of the store gets a new token.
    void order_of_former_era_may_be_read_after_that_of_the_next()
    {
        ordering_vm f;
        f.order();
        const auto former_claim_end = f.now + coordinator_lease_duration;
        f.plain.take_copy();
        f.plain.restore();
        f.now += milliseconds(100);
        f.a.update(f.never);
        f.a.update(f.never);
        const auto next = f.a.term();
        CPPUNIT_ASSERT(next && next->token > f.term.token);
        CPPUNIT_ASSERT(f.order_as(f.a, *next) == promotion_result::not_sent);
        f.renew_until(f.a, former_claim_end);
        CPPUNIT_ASSERT(f.order_as(f.a, *next) == promotion_result::accepted);
    }

    void successor_of_an_expired_lease_orders_at_once()
    {
        ordering_vm f;
        f.now += coordinator_lease_duration;
        f.b.update(f.never);
        const auto term = *f.b.term();
        CPPUNIT_ASSERT(f.order_as(f.b, term) == promotion_result::accepted);
    }

    /// A VM that stops hands its lease over, perhaps before its order is read.
    void order_without_answer_may_be_read_after_a_release()
    {
        ordering_vm f;
        f.answer = promotion_result::unanswered;
        f.order();
        f.a.release({});
        CPPUNIT_ASSERT(!f.a.term());
        f.b.update(f.never);
        CPPUNIT_ASSERT(!f.b.holds(f.now));
        f.now += coordinator_lease_duration;
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
    }

    void successor_of_a_released_lease_orders_at_once()
    {
        ordering_vm f;
        f.order();
        f.a.release({});
        f.b.update(f.never);
        const auto term = *f.b.term();
        CPPUNIT_ASSERT(f.order_as(f.b, term) == promotion_result::accepted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(promotion_order_test);

} // namespace tanagerhoist

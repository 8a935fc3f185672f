#include "tanagerhoist/decision/fair_queue.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class fair_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fair_queue_test);
    CPPUNIT_TEST(pop_weights_share_service);
    CPPUNIT_TEST(pop_emergencies_go_first_in_bounded_runs);
    CPPUNIT_TEST(push_full_workspace_refused_alone);
    CPPUNIT_TEST(push_late_by_measured_rate_refused);
    CPPUNIT_TEST(push_empty_queue_never_refused_for_rate);
    CPPUNIT_TEST(push_after_pause_not_refused);
    CPPUNIT_TEST(push_after_sparse_requests_not_refused);
    CPPUNIT_TEST(push_after_recovery_estimate_falls);
    CPPUNIT_TEST(expire_due_request_leaves_once);
    CPPUNIT_TEST(erase_middle_costs_workspace_nothing);
    CPPUNIT_TEST(pop_workspace_below_its_share_precedes_flood);
    CPPUNIT_TEST_SUITE_END();

    std::uint64_t next_ = 1;

    queued request(const std::string& workspace, std::uint64_t weight = 1,
                   bool emergency = false,
                   milliseconds left = milliseconds(5'000))
    {
        return {next_++, workspace, weight, emergency, now_, now_ + left};
    }

    result_code push(fair_queue& queue, const std::string& workspace,
                     std::uint64_t weight = 1, bool emergency = false,
                     milliseconds left = milliseconds(5'000))
    {
        return queue.push(now_, request(workspace, weight, emergency, left));
    }

    /// Serves `count` requests from a backlogged queue, one per `interval`.
    void serve(fair_queue& queue, int count, milliseconds interval)
    {
        for (int i = 0; i < count; ++i)
        {
            push(queue, "served");
            push(queue, "served");
            queue.pop(now_);
            now_ += interval;
            queue.finished(now_, interval);
            while (queue.size() > 1)
            {
                queue.pop(now_);
            }
        }
        while (queue.pop(now_))
        {
        }
    }

    moment now_;

public:
    void pop_weights_share_service()
    {
        for (const auto order :
             {make_start_time_fair_order, make_weighted_fair_order})
        {
            fair_queue_options options;
            options.order = order;
            fair_queue queue(options);
            for (int i = 0; i < 100; ++i)
            {
                push(queue, "small", 1);
            }
            const std::uint64_t first_large = next_;
            for (int i = 0; i < 100; ++i)
            {
                push(queue, "large", 3);
            }
            // Uses up the initial credit of 16 requests of each workspace.
            for (int i = 0; i < 32; ++i)
            {
                queue.pop(now_);
            }
            int large = 0;
            for (int i = 0; i < 40; ++i)
            {
                large += *queue.pop(now_) >= first_large ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(30, large);
        }
    }

    void pop_emergencies_go_first_in_bounded_runs()
    {
        fair_queue queue;
        push(queue, "a");
        const std::uint64_t first_emergency = next_;
        for (int i = 0; i < 5; ++i)
        {
            push(queue, "b", 1, true);
        }
        for (int i = 0; i < 3; ++i)
        {
            CPPUNIT_ASSERT(*queue.pop(now_) >= first_emergency);
        }
        CPPUNIT_ASSERT(*queue.pop(now_) < first_emergency);
        CPPUNIT_ASSERT(*queue.pop(now_) >= first_emergency);
    }

    void push_full_workspace_refused_alone()
    {
        fair_queue_options options;
        options.workspace_capacity = 2;
        fair_queue queue(options);
        push(queue, "a");
        push(queue, "a");
        CPPUNIT_ASSERT(push(queue, "a") == result_code::queue_full);
        CPPUNIT_ASSERT(push(queue, "b") == result_code::ok);
        CPPUNIT_ASSERT(push(queue, "a", 1, true) == result_code::ok);
    }

    void push_late_by_measured_rate_refused()
    {
        fair_queue queue;
        serve(queue, 40, milliseconds(10));
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT(push(queue, "a") == result_code::ok);
        }
        CPPUNIT_ASSERT(push(queue, "a", 1, false, milliseconds(100)) ==
                       result_code::deadline_too_short);
        // A request of another workspace is served sooner.
        CPPUNIT_ASSERT(push(queue, "b", 1, false, milliseconds(100)) ==
                       result_code::ok);
        CPPUNIT_ASSERT(push(queue, "a", 1, true, milliseconds(100)) ==
                       result_code::ok);
    }

    void push_empty_queue_never_refused_for_rate()
    {
        fair_queue queue;
        serve(queue, 40, milliseconds(1'000));
        CPPUNIT_ASSERT(push(queue, "a", 1, false, milliseconds(1)) ==
                       result_code::ok);
        CPPUNIT_ASSERT(push(queue, "a", 1, false, milliseconds(0)) ==
                       result_code::deadline_too_short);
    }

    void push_after_pause_not_refused()
    {
        fair_queue queue;
        serve(queue, 40, milliseconds(10));
        push(queue, "a");
        push(queue, "a");
        queue.pop(now_);
        now_ += milliseconds(4'000);
        queue.finished(now_, milliseconds(10));
        push(queue, "a");
        push(queue, "a");
        CPPUNIT_ASSERT(push(queue, "a", 1, false, milliseconds(200)) ==
                       result_code::ok);
    }

    /// Intervals between requests that never waited include idle time and must
    /// not lower the estimated service rate.
    void push_after_sparse_requests_not_refused()
    {
        fair_queue queue;
        for (int i = 0; i < 50; ++i)
        {
            push(queue, "a");
            queue.pop(now_);
            now_ += milliseconds(4);
            queue.finished(now_, milliseconds(4));
            now_ += milliseconds(300);
        }
        for (int i = 0; i < 200; ++i)
        {
            CPPUNIT_ASSERT(push(queue, "a") == result_code::ok);
        }
    }

    void push_after_recovery_estimate_falls()
    {
        fair_queue queue;
        serve(queue, 40, milliseconds(1'000));
        for (int i = 0; i < 100; ++i)
        {
            push(queue, "a");
            queue.pop(now_);
            now_ += milliseconds(1);
            queue.finished(now_, milliseconds(1));
        }
        push(queue, "a");
        CPPUNIT_ASSERT(push(queue, "a", 1, false, milliseconds(100)) ==
                       result_code::ok);
    }

    void expire_due_request_leaves_once()
    {
        fair_queue queue;
        const queued late = request("a", 1, false, milliseconds(5));
        queue.push(now_, late);
        push(queue, "a");
        now_ += milliseconds(5);
        CPPUNIT_ASSERT(queue.pop(now_) == late.id + 1);
        CPPUNIT_ASSERT(!queue.pop(now_));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.size());
        CPPUNIT_ASSERT(queue.expire(now_) ==
                       std::vector<std::uint64_t>{late.id});
        CPPUNIT_ASSERT(queue.expire(now_).empty());
        CPPUNIT_ASSERT(!queue.erase(late.id));
    }

    void erase_middle_costs_workspace_nothing()
    {
        fair_queue_options options;
        options.order = make_start_time_fair_order;
        fair_queue queue(options);
        push(queue, "a");
        push(queue, "a");
        push(queue, "a");
        push(queue, "b");
        push(queue, "b");
        CPPUNIT_ASSERT(queue.erase(2));
        CPPUNIT_ASSERT(!queue.erase(2));
        for (const std::uint64_t id : {1U, 4U, 3U, 5U})
        {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(id), *queue.pop(now_));
        }
    }

    void pop_workspace_below_its_share_precedes_flood()
    {
        fair_queue queue;
        for (int i = 0; i < 50; ++i)
        {
            push(queue, "flood");
        }
        for (int i = 0; i < 20; ++i)
        {
            queue.pop(now_);
        }
        const std::uint64_t burst = next_;
        for (int i = 0; i < 8; ++i)
        {
            push(queue, "quiet");
        }
        for (int i = 0; i < 8; ++i)
        {
            CPPUNIT_ASSERT(*queue.pop(now_) >= burst);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fair_queue_test);

} // namespace tanagerhoist

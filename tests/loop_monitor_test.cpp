#include "proxy_fixture.hpp"
#include "tanagerhoist/adapter/loop_monitor.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace tanagerhoist
{

class loop_monitor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(loop_monitor_test);
    CPPUNIT_TEST(run_in_time_writes_no_line);
    CPPUNIT_TEST(late_fiber_is_logged_with_its_cause);
    CPPUNIT_TEST(late_runs_write_one_line_a_second);
    CPPUNIT_TEST(line_tells_only_recent_work);
    CPPUNIT_TEST(metrics_count_work_and_late_runs);
    CPPUNIT_TEST_SUITE_END();

public:
    void run_in_time_writes_no_line()
    {
        monitor_.fiber_runs(now_ - milliseconds(20));
        monitor_.timer_runs(now_);
        CPPUNIT_ASSERT(log_.lines.empty());
    }

    void late_fiber_is_logged_with_its_cause()
    {
        monitor_.watch(
            [] {
                return loop_queues{3, 4, 50, milliseconds(1700)};
            });
        work(loop_work::report, milliseconds(2));
        work(loop_work::report, milliseconds(4));
        work(loop_work::client, milliseconds(1));
        monitor_.fiber_runs(now_ - milliseconds(800));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log_.lines.size());
        const auto& line = log_.lines.front();
        CPPUNIT_ASSERT_EQUAL(std::string("loop_late"), line.at("event"));
        CPPUNIT_ASSERT_EQUAL(std::string("fiber"), line.at("what"));
        CPPUNIT_ASSERT_EQUAL(std::string("800"), line.at("late_ms"));
        CPPUNIT_ASSERT_EQUAL(std::string("1700"), line.at("since_renewal_ms"));
        CPPUNIT_ASSERT_EQUAL(std::string("3"), line.at("held"));
        CPPUNIT_ASSERT_EQUAL(std::string("4"), line.at("waiting"));
        CPPUNIT_ASSERT_EQUAL(std::string("50"), line.at("sessions"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("report 2 in 6000 us, client 1 in 1000 us"),
            line.at("work"));
    }

    void late_runs_write_one_line_a_second()
    {
        for (int i = 0; i < 30; ++i)
        {
            monitor_.timer_runs(now_ - milliseconds(300));
            now_ += milliseconds(100);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, log_.lines.size());
    }

    void line_tells_only_recent_work()
    {
        work(loop_work::view, milliseconds(9));
        now_ += std::chrono::seconds(5);
        work(loop_work::tick, milliseconds(1));
        monitor_.fiber_runs(now_ - milliseconds(800));
        CPPUNIT_ASSERT_EQUAL(std::string("tick 1 in 1000 us"),
                             log_.lines.front().at("work"));
    }

    void metrics_count_work_and_late_runs()
    {
        work(loop_work::view, milliseconds(9));
        work(loop_work::view, milliseconds(1));
        monitor_.fiber_runs(now_ - milliseconds(800));
        std::ostringstream out;
        monitor_.print(out);
        for (const auto* text :
             {"tanagerhoist_loop_work_seconds_sum{kind=\"view\"} 0.01\n",
              "tanagerhoist_loop_work_seconds_count{kind=\"view\"} 2\n",
              "tanagerhoist_loop_late_total{what=\"fiber\"} 1\n",
              "tanagerhoist_loop_late_longest_seconds{what=\"fiber\"} 0.8\n"})
        {
            CPPUNIT_ASSERT(out.str().find(text) != std::string::npos);
        }
    }

private:
    void work(loop_work kind, microseconds took)
    {
        const loop_monitor::measurement measured(monitor_, kind);
        now_ += took;
    }

    moment now_{std::chrono::hours(1)};
    recording_log log_;
    loop_monitor monitor_{log_, [this] { return now_; }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(loop_monitor_test);

} // namespace tanagerhoist

#include "tanagerhoist/fleet/fleet_coordinator.hpp"
#include "tanagerhoist/fleet/server_standings.hpp"
#include "tanagerhoist/session/answer_news.hpp"
#include "tanagerhoist/session/coordinator_times.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <set>
#include <string>

namespace tanagerhoist
{

/// Evidence about servers that many VMs with few answers each give together.
class server_standings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_standings_test);
    CPPUNIT_TEST(servers_in_order_are_not_told);
    CPPUNIT_TEST(server_that_fails_a_part_at_60_vms_is_told);
    CPPUNIT_TEST(slow_server_is_told_until_it_has_recovered);
    CPPUNIT_TEST(bytes_stay_flat_with_12000_servers);
    CPPUNIT_TEST(report_that_comes_twice_counts_once);
    CPPUNIT_TEST(failures_are_reported_before_answers);
    CPPUNIT_TEST(many_servers_are_reported_in_turn);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int vms = 60;

    static std::string name(int server) { return "s" + std::to_string(server); }

    /// Replays the reports of 60 VMs that have 0.8 answers a second of each of
    /// eight servers.
    struct fleet
    {
        moment now{std::chrono::hours(1)};
        std::array<answer_news, vms> news;
        server_standings subject;

        /// @param failing every n-th statement at s3 gets no answer; 0: none
        /// @param slowness of s5
        void run(milliseconds time, int failing, double slowness)
        {
            for (milliseconds passed{0}; passed < time;
                 passed += report_interval)
            {
                now += report_interval;
                for (int vm = 0; vm < vms; ++vm)
                {
                    observe(vm, failing, slowness);
                    proto::VmReport report;
                    news.at(static_cast<std::size_t>(vm)).describe(report);
                    subject.apply(now, report);
                }
            }
        }

        void observe(int vm, int failing, double slowness)
        {
            auto& mine = news.at(static_cast<std::size_t>(vm));
            for (int server = 0; server < 8; ++server)
            {
                if (++count % 3 != 0)
                {
                    continue; // 0.32 answers in a report's time
                }
                const bool fails =
                    server == 3 && failing > 0 && ++at_three % failing == 0;
                mine.add(name(server), fails ? server_outcome::no_answer
                                             : server_outcome::answered);
                if (!fails)
                {
                    mine.add_slowness(name(server), server == 5 ? slowness : 1);
                }
            }
        }

        proto::FleetView view()
        {
            proto::FleetView made;
            subject.add_to(now, {}, made);
            return made;
        }

        int count = 0;
        int at_three = 0;
    };

public:
    void servers_in_order_are_not_told()
    {
        fleet f;
        f.run(milliseconds(4000), 0, 1);
        CPPUNIT_ASSERT_EQUAL(0, f.view().standings_size());
    }

    void server_that_fails_a_part_at_60_vms_is_told()
    {
        fleet f;
        f.run(milliseconds(2000), 4, 1);
        const auto view = f.view();
        CPPUNIT_ASSERT_EQUAL(1, view.standings_size());
        CPPUNIT_ASSERT_EQUAL(name(3), view.standings(0).server());
        CPPUNIT_ASSERT(view.standings(0).failing_permille() > 200);
        CPPUNIT_ASSERT(view.standings(0).failing_permille() < 300);
    }

    void slow_server_is_told_until_it_has_recovered()
    {
        fleet f;
        f.run(milliseconds(2000), 0, 4);
        const auto slow = f.view();
        CPPUNIT_ASSERT_EQUAL(1, slow.standings_size());
        CPPUNIT_ASSERT_EQUAL(name(5), slow.standings(0).server());
        CPPUNIT_ASSERT(slow.standings(0).slowness_percent() > 350);
        f.run(milliseconds(12000), 0, 1);
        CPPUNIT_ASSERT_EQUAL(0, f.view().standings_size());
    }

    void bytes_stay_flat_with_12000_servers()
    {
        server_standings subject;
        const moment now{std::chrono::hours(1)};
        for (int server = 0; server < 12000; ++server)
        {
            proto::VmReport report;
            auto& news = *report.add_server_news();
            news.set_server(name(server));
            news.set_answered(20);
            news.set_failed(server == 7000 ? 60 : 10);
            subject.apply(now, report);
        }
        proto::FleetView view;
        subject.add_to(now, {}, view);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(server_standings::most_told),
                             view.standings_size());
        CPPUNIT_ASSERT_EQUAL(name(7000), view.standings(0).server());
        CPPUNIT_ASSERT(view.ByteSizeLong() < 1024);
    }

    void report_that_comes_twice_counts_once()
    {
        fleet_coordinator subject(limit_tolerance{}, true);
        const moment now{std::chrono::hours(1)};
        proto::VmReport report;
        report.set_vm("a-1");
        report.set_sequence(1);
        auto& news = *report.add_server_news();
        news.set_server("s1");
        news.set_answered(20);
        news.set_failed(20);
        subject.apply_report(now, report);
        subject.apply_report(now, report);
        proto::FleetView view;
        subject.add_standings(now, {}, view);
        CPPUNIT_ASSERT_EQUAL(1, view.standings_size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000 * 20 / 44},
                             view.standings(0).failing_permille());
    }

    void failures_are_reported_before_answers()
    {
        answer_news subject;
        for (int server = 0; server < 40; ++server)
        {
            subject.add(name(server), server == 33 ? server_outcome::reset
                                                   : server_outcome::answered);
        }
        proto::VmReport report;
        subject.describe(report);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(answer_news::most_servers),
                             report.server_news_size());
        CPPUNIT_ASSERT_EQUAL(name(33), report.server_news(0).server());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, report.server_news(0).reset());
    }

    void many_servers_are_reported_in_turn()
    {
        answer_news subject;
        std::set<std::string> reported;
        for (int round = 0; round < 3; ++round)
        {
            for (int server = 0; server < 40; ++server)
            {
                subject.add(name(server), server_outcome::answered);
            }
            proto::VmReport report;
            subject.describe(report);
            for (const auto& news : report.server_news())
            {
                reported.insert(news.server());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, reported.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_standings_test);

} // namespace tanagerhoist

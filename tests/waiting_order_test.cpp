#include "proxy_fixture.hpp"
#include "waiting_replay.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace tanagerhoist
{
namespace
{

using namespace waiting;

} // namespace

class waiting_order_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(waiting_order_test);
    CPPUNIT_TEST(flood_of_one_workspace_leaves_the_others_on_time);
    CPPUNIT_TEST(flood_is_on_time_in_the_room_that_the_others_leave);
    CPPUNIT_TEST(burst_of_one_kind_leaves_urgent_statements_on_time);
    CPPUNIT_TEST(large_statements_are_served_beside_a_flood);
    CPPUNIT_TEST(shares_follow_the_weights);
    CPPUNIT_TEST(workspace_within_its_share_goes_before_a_more_urgent_flood);
    CPPUNIT_TEST(use_of_a_free_server_is_not_held_against_a_workspace);
    CPPUNIT_TEST(usual_load_is_not_refused);
    CPPUNIT_TEST(flood_is_refused_early_and_nobody_else);
    CPPUNIT_TEST(burst_leaves_nothing_to_expire);
    CPPUNIT_TEST(stall_of_the_servers_costs_few_that_would_have_been_served);
    CPPUNIT_TEST(waiting_without_a_server_tells_nothing_about_the_speed);
    CPPUNIT_TEST(proxy_refuses_what_will_not_be_served_and_says_when_to_return);
    CPPUNIT_TEST(proxy_does_not_refuse_for_room_while_the_primary_is_replaced);
    CPPUNIT_TEST(proxy_serves_another_workspace_before_the_rest_of_a_flood);
    CPPUNIT_TEST_SUITE_END();

public:
    void flood_of_one_workspace_leaves_the_others_on_time()
    {
        const auto calm = replay(usual_demands()).run(false);
        const auto before = replay(flood()).run(false);
        const auto after = replay(flood()).run(true);
        std::size_t missed_before = 0;
        for (std::size_t i = 1; i < after.size(); ++i)
        {
            missed_before += before[i].missed;
            CPPUNIT_ASSERT(after[i].missed * 100 <= after[i].sent);
            // One service time more than in calm: all slots are always taken.
            CPPUNIT_ASSERT(after[i].percentile(0.99) <=
                           2 * calm[i].percentile(0.99) +
                               static_cast<double>(service_time.count()));
        }
        CPPUNIT_ASSERT(missed_before > 100); // the load is hard enough
    }

    void flood_is_on_time_in_the_room_that_the_others_leave()
    {
        const auto result = replay(flood()).run(true)[0];
        const auto on_time = result.sent - result.missed;
        constexpr std::size_t capacity = 5000;
        constexpr std::size_t others = 3500;
        CPPUNIT_ASSERT(on_time * 10 >= (capacity - others) * 9);
    }

    void burst_of_one_kind_leaves_urgent_statements_on_time()
    {
        auto demands = usual_demands();
        for (std::size_t i = 0; i < 4; ++i)
        {
            demands[i].target = milliseconds(200);
        }
        for (std::size_t i = 4; i < 8; ++i)
        {
            demands[i].per_second *= 2.5;
            demands[i].target = milliseconds(1000);
        }
        const auto result = replay(demands).run(true);
        for (std::size_t i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT(result[i].missed * 100 <= result[i].sent);
        }
    }

    void large_statements_are_served_beside_a_flood()
    {
        auto demands = flood();
        demands[7] = {"h", 2, milliseconds(1000), milliseconds(2000),
                      milliseconds(200)};
        const auto result = replay(demands).run(true)[7];
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.expired);
        CPPUNIT_ASSERT(result.missed * 100 <= result.sent);
    }

    void shares_follow_the_weights()
    {
        waiting_order order;
        std::map<std::string_view, int> served;
        for (int i = 0; i < 400; ++i)
        {
            std::vector<queued_statement> waiting{statement_of("small", 10),
                                                  statement_of("large", 10)};
            waiting[1].weight = 3;
            order.sort(start, waiting);
            order.charge(waiting.front());
            ++served[waiting.front().workspace];
        }
        CPPUNIT_ASSERT(served["large"] >= 290 && served["large"] <= 310);
    }

    void workspace_within_its_share_goes_before_a_more_urgent_flood()
    {
        waiting_order order;
        for (int i = 0; i < 10; ++i)
        {
            order.charge(statement_of("flood", 10));
        }
        std::vector<queued_statement> waiting{statement_of("flood", 10),
                                              statement_of("calm", 500),
                                              statement_of("calm", 90)};
        order.sort(start, waiting);
        CPPUNIT_ASSERT(waiting[0].due == start + milliseconds(90));
        CPPUNIT_ASSERT(waiting[1].due == start + milliseconds(500));
    }

    void use_of_a_free_server_is_not_held_against_a_workspace()
    {
        waiting_order order;
        for (int i = 0; i < 1000; ++i)
        {
            order.charge(statement_of("busy", 10));
        }
        order.charge(statement_of("other", 10));
        std::map<std::string_view, int> served;
        for (int i = 0; i < 100; ++i)
        {
            std::vector<queued_statement> waiting{statement_of("busy", 10),
                                                  statement_of("other", 10)};
            order.sort(start, waiting);
            order.charge(waiting.front());
            ++served[waiting.front().workspace];
        }
        CPPUNIT_ASSERT(served["busy"] >= 45);
    }

    void usual_load_is_not_refused()
    {
        for (const auto& result : replay(usual_demands()).run(true, true))
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.refused);
        }
    }

    void flood_is_refused_early_and_nobody_else()
    {
        const auto held = replay(flood()).run(true);
        const auto result = replay(flood()).run(true, true);
        for (std::size_t i = 1; i < result.size(); ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result[i].refused);
        }
        const auto& refused = result[0];
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, refused.expired);
        CPPUNIT_ASSERT(held[0].expired > 900); // the load is hard enough
        const auto late = std::count_if(
            refused.refusals_ms.begin(), refused.refusals_ms.end(),
            [](double ms)
            { return ms > static_cast<double>(demand().target.count()); });
        CPPUNIT_ASSERT(static_cast<std::size_t>(late) * 10 <= refused.refused);
        CPPUNIT_ASSERT(on_time(result) * 100 >= on_time(held) * 98);
    }

    void burst_leaves_nothing_to_expire()
    {
        auto demands = usual_demands();
        for (auto& kind : demands)
        {
            kind.per_second *= 2;
            kind.target = milliseconds(1000);
        }
        const auto held = replay(demands).run(true);
        const auto result = replay(demands).run(true, true);
        for (const auto& each : result)
        {
            CPPUNIT_ASSERT(each.expired * 100 <= each.sent);
            auto times = each.refusals_ms;
            std::sort(times.begin(), times.end());
            // A quarter of the target, for half of the refused.
            CPPUNIT_ASSERT(times.empty() || times[times.size() / 2] <= 250);
        }
        CPPUNIT_ASSERT(on_time(result) * 100 >= on_time(held) * 97);
    }

    void stall_of_the_servers_costs_few_that_would_have_been_served()
    {
        replay holding(usual_demands());
        holding.stall(milliseconds(5000), milliseconds(7000));
        replay refusing(usual_demands());
        refusing.stall(milliseconds(5000), milliseconds(7000));
        const auto held = holding.run(true);
        const auto result = refusing.run(true, true);
        CPPUNIT_ASSERT(served(result) * 100 >= served(held) * 99);
    }

    void waiting_without_a_server_tells_nothing_about_the_speed()
    {
        constexpr microseconds answer_time{20'000};
        wait_outlook outlook;
        auto statement = statement_of("a", 400);
        statement.expires = start + milliseconds(10'000);
        outlook.update(start, answer_time, {}, {statement});
        outlook.pause();
        const auto later = start + milliseconds(9'000);
        CPPUNIT_ASSERT(
            outlook.update(later, answer_time, {}, {statement}).empty());
        outlook.update(later, answer_time, {}, {statement});
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            outlook
                .update(later + milliseconds(600), answer_time, {}, {statement})
                .size());
    }

    /// Sends more writes than five slots can serve in their timeout, when one
    /// is answered each 100 ms.
    static void overload(proxy_fixture& f)
    {
        constexpr int sent_at_once = 60;
        for (int i = 0; i < sent_at_once; ++i)
        {
            f.ask(f.start("primary"),
                  proxy_fixture::make(statement_kind::write));
        }
        while (f.transport.sent.size() < slots)
        {
            f.subject.connection_opened(
                f.now, f.transport.opened[f.transport.sent.size()].id, {});
        }
    }

    void proxy_refuses_what_will_not_be_served_and_says_when_to_return()
    {
        proxy_fixture f;
        overload(f);
        for (int i = 0; i < 4; ++i)
        {
            f.advance(milliseconds(100));
            f.succeed();
        }
        CPPUNIT_ASSERT(f.subject.figures().refusals.at("no_room") > 30);
        std::set<std::string> told;
        for (const auto& [session, answers] : f.transport.answers)
        {
            if (answers.back().error)
            {
                CPPUNIT_ASSERT(*answers.back().error == session_error::busy);
                told.insert(answers.back().text);
            }
        }
        CPPUNIT_ASSERT(told.size() > 20); // the returns are spread
        CPPUNIT_ASSERT_EQUAL(
            std::string("no room in time, not run, retry in "),
            told.begin()->substr(0, told.begin()->find_first_of("0123456789")));
    }

    void proxy_does_not_refuse_for_room_while_the_primary_is_replaced()
    {
        proxy_fixture f;
        overload(f);
        f.seal();
        for (int i = 0; i < 4; ++i)
        {
            f.advance(milliseconds(100));
            f.subject.tick(f.now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             f.subject.figures().refusals.count("no_room"));
    }

    void proxy_serves_another_workspace_before_the_rest_of_a_flood()
    {
        proxy_fixture f;
        constexpr int sent_at_once = 20;
        for (int i = 0; i < sent_at_once; ++i)
        {
            f.ask(f.start("primary"),
                  proxy_fixture::make(statement_kind::write));
        }
        while (f.transport.sent.size() < slots)
        {
            f.subject.connection_opened(
                f.now, f.transport.opened[f.transport.sent.size()].id, {});
        }
        for (int i = 0; i < sent_at_once / 2; ++i)
        {
            f.succeed();
        }
        f.ask(f.start("primary", "key-v"),
              proxy_fixture::make(statement_kind::write));
        f.succeed();
        CPPUNIT_ASSERT_EQUAL(std::string("v"),
                             f.transport.opened.back().workspace);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(waiting_order_test);

} // namespace tanagerhoist

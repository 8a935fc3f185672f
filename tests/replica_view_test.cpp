#include "tanagerhoist/core/log_point.hpp"
#include "tanagerhoist/decision/read_acceptance.hpp"
#include "tanagerhoist/decision/replica_view.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace tanagerhoist
{

class replica_view_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_view_test);
    CPPUNIT_TEST(token_covered_replicas_take_turns);
    CPPUNIT_TEST(token_lost_primary_alone);
    CPPUNIT_TEST(replica_far_behind_left_out);
    CPPUNIT_TEST(replica_nearly_there_waits_within_policy);
    CPPUNIT_TEST(tolerated_age_exceeded_left_out);
    CPPUNIT_TEST(tolerated_age_does_not_waive_token);
    CPPUNIT_TEST(failed_replica_left_out_then_back);
    CPPUNIT_TEST(silent_replica_explored_once);
    CPPUNIT_TEST(answer_short_of_token_not_acceptable);
    CPPUNIT_TEST(answer_of_lower_term_not_acceptable);
    CPPUNIT_TEST(answer_too_old_not_acceptable_even_from_primary);
    CPPUNIT_TEST(answer_without_token_only_from_primary);
    CPPUNIT_TEST_SUITE_END();

    using names = std::vector<std::string>;
    static constexpr milliseconds no_age{0};

    replica_view view_;
    const names servers_{"a", "b", "c"};

    static moment at(int ms) { return moment(milliseconds(ms)); }

    names choose(int ms, const proto::LogPoint& token, bool has_token = true,
                 milliseconds age = no_age)
    {
        return view_.candidates(at(ms), servers_, "a", token, has_token, age);
    }

    void seen(int ms, const std::string& server, std::uint64_t position,
              int age_ms)
    {
        view_.observed(at(ms), server, make_point(1, position),
                       milliseconds(age_ms));
    }

    static proto::ExecuteReply reply(std::uint64_t term, std::uint64_t position,
                                     std::uint64_t age_ms)
    {
        proto::ExecuteReply made;
        *made.mutable_point() = make_point(term, position);
        made.set_age_ms(age_ms);
        return made;
    }

    static void equal(const names& wanted, const names& got)
    {
        CPPUNIT_ASSERT(wanted == got);
    }

public:
    void token_covered_replicas_take_turns()
    {
        seen(1, "b", 9, 0);
        seen(1, "c", 9, 0);
        equal({"b", "c", "a"}, choose(2, make_point(1, 9)));
        equal({"c", "b", "a"}, choose(2, make_point(1, 9)));
        equal({"b", "c", "a"}, choose(2, make_point(1, 9)));
    }

    void token_lost_primary_alone()
    {
        seen(1, "b", 9, 0);
        seen(1, "c", 9, 0);
        equal({"a"}, choose(2, {}, false));
        equal({"a"}, choose(2, {}, false, milliseconds(5000)));
    }

    void replica_far_behind_left_out()
    {
        seen(1, "b", 3, 2000);
        seen(1, "c", 9, 0);
        equal({"c", "a"}, choose(2, make_point(1, 9)));
    }

    void replica_nearly_there_waits_within_policy()
    {
        seen(100, "a", 9, 0);
        seen(101, "b", 8, 4);
        seen(101, "c", 8, 20);
        equal({"b", "a"}, choose(102, make_point(1, 9)));
        CPPUNIT_ASSERT(
            view_.expected_wait(at(102), "b", "a", make_point(1, 9)) ==
            microseconds(2000));
        equal({"b", "c", "a"}, choose(116, make_point(1, 9)));
    }

    void tolerated_age_exceeded_left_out()
    {
        seen(1, "b", 9, 700);
        seen(1, "c", 9, 300);
        equal({"c", "a"}, choose(2, {}, true, milliseconds(500)));
    }

    void tolerated_age_does_not_waive_token()
    {
        seen(1, "b", 3, 400);
        seen(1, "c", 3, 400);
        equal({"a"}, choose(2, make_point(1, 9), true, milliseconds(60000)));
        CPPUNIT_ASSERT(!is_read_acceptable(reply(1, 3, 400), make_point(1, 9),
                                           true, milliseconds(60000), false));
    }

    void failed_replica_left_out_then_back()
    {
        seen(1, "b", 9, 0);
        seen(1, "c", 9, 0);
        view_.failed(at(2), "b");
        equal({"c", "a"}, choose(3, make_point(1, 9)));
        const auto later = choose(600, make_point(1, 9));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, later.size());
    }

    void silent_replica_explored_once()
    {
        seen(1, "b", 3, 2000);
        seen(1, "c", 9, 0);
        const auto first = choose(300, make_point(1, 9));
        CPPUNIT_ASSERT(std::count(first.begin(), first.end(), "b") == 1);
        equal({"c", "a"}, choose(301, make_point(1, 9)));
    }

    void answer_short_of_token_not_acceptable()
    {
        const auto token = make_point(1, 9);
        CPPUNIT_ASSERT(
            !is_read_acceptable(reply(1, 8, 0), token, true, no_age, false));
        CPPUNIT_ASSERT(
            !is_read_acceptable(reply(1, 8, 0), token, true, no_age, true));
        CPPUNIT_ASSERT(
            is_read_acceptable(reply(1, 9, 0), token, true, no_age, false));
    }

    void answer_of_lower_term_not_acceptable()
    {
        CPPUNIT_ASSERT(!is_read_acceptable(reply(1, 90, 0), make_point(2, 9),
                                           true, no_age, false));
        CPPUNIT_ASSERT(is_read_acceptable(reply(3, 5, 0), make_point(2, 9),
                                          true, no_age, false));
    }

    void answer_too_old_not_acceptable_even_from_primary()
    {
        const milliseconds age{500};
        CPPUNIT_ASSERT(
            is_read_acceptable(reply(1, 1, 500), {}, true, age, false));
        CPPUNIT_ASSERT(
            !is_read_acceptable(reply(1, 1, 501), {}, true, age, false));
        CPPUNIT_ASSERT(
            !is_read_acceptable(reply(1, 1, 501), {}, true, age, true));
    }

    void answer_without_token_only_from_primary()
    {
        CPPUNIT_ASSERT(
            !is_read_acceptable(reply(1, 9, 0), {}, false, no_age, false));
        CPPUNIT_ASSERT(
            is_read_acceptable(reply(1, 9, 0), {}, false, no_age, true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_view_test);

} // namespace tanagerhoist

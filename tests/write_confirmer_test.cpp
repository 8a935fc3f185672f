#include "tanagerhoist/core/log_point.hpp"
#include "tanagerhoist/decision/write_confirmer.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

class write_confirmer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(write_confirmer_test);
    CPPUNIT_TEST(group_of_three_one_holder_confirmed);
    CPPUNIT_TEST(group_of_three_no_holder_unconfirmed_at_deadline);
    CPPUNIT_TEST(group_of_five_one_holder_undecided);
    CPPUNIT_TEST(sealed_majority_holding_superseded);
    CPPUNIT_TEST(one_sealed_other_holds_confirmed);
    CPPUNIT_TEST(question_lost_asked_again_confirmed);
    CPPUNIT_TEST(late_answer_after_verdict_ignored);
    CPPUNIT_TEST(single_server_confirmed_at_once);
    CPPUNIT_TEST(current_primary_stepped_down_superseded);
    CPPUNIT_TEST(current_primary_end_of_log_confirmed);
    CPPUNIT_TEST_SUITE_END();

    using verdict = write_confirmer::verdict;

    outbox out_;
    write_confirmer confirmer_;
    std::vector<verdict> verdicts_;
    const proto::LogPoint point_ = make_point(7, 40);

    static moment at(int ms) { return moment(milliseconds(ms)); }

    void start(const std::vector<std::string>& others)
    {
        confirmer_.confirm(at(0), "ledger", others, point_, at(1000), out_,
                           [this](moment, verdict value)
                           { verdicts_.push_back(value); });
    }

    std::vector<proto::CallDatabase> calls()
    {
        std::vector<proto::CallDatabase> made;
        for (auto& action : out_.take_actions())
        {
            made.push_back(action.call_database());
        }
        return made;
    }

    void answer(const proto::CallDatabase& call, bool holds,
                std::uint64_t sealed, int ms = 1)
    {
        proto::DatabaseReply reply;
        reply.mutable_status()->set_holds(holds);
        reply.mutable_status()->set_sealed_term(sealed);
        out_.take_database(call.tag())(at(ms), &reply, true);
    }

    void fail(const proto::CallDatabase& call, int ms = 1)
    {
        out_.take_database(call.tag())(at(ms), nullptr, true);
    }

    void expect(const std::vector<verdict>& wanted)
    {
        CPPUNIT_ASSERT(wanted == verdicts_);
    }

public:
    void group_of_three_one_holder_confirmed()
    {
        start({"b", "c"});
        const auto asked = calls();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, asked.size());
        CPPUNIT_ASSERT_EQUAL(point_.position(),
                             asked[0].call().status().await().position());
        expect({});
        answer(asked[1], true, 7);
        expect({verdict::confirmed});
    }

    void group_of_three_no_holder_unconfirmed_at_deadline()
    {
        start({"b", "c"});
        for (const auto& call : calls())
        {
            answer(call, false, 7, 200);
        }
        confirmer_.on_tick(at(999), out_);
        expect({});
        confirmer_.on_tick(at(1000), out_);
        expect({verdict::unconfirmed});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, confirmer_.pending());
    }

    void group_of_five_one_holder_undecided()
    {
        start({"b", "c", "d", "e"});
        const auto asked = calls();
        answer(asked[0], true, 7);
        expect({});
        answer(asked[3], true, 7);
        expect({verdict::confirmed});
    }

    void sealed_majority_holding_superseded()
    {
        start({"b", "c"});
        const auto asked = calls();
        answer(asked[0], true, 8);
        expect({});
        answer(asked[1], true, 9);
        expect({verdict::superseded});
    }

    void one_sealed_other_holds_confirmed()
    {
        start({"b", "c"});
        const auto asked = calls();
        answer(asked[0], false, 8);
        answer(asked[1], true, 7);
        expect({verdict::confirmed});
    }

    void question_lost_asked_again_confirmed()
    {
        start({"b", "c"});
        for (const auto& call : calls())
        {
            fail(call);
        }
        confirmer_.on_tick(at(100), out_);
        const auto again = calls();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, again.size());
        answer(again[0], true, 7, 101);
        expect({verdict::confirmed});
    }

    void late_answer_after_verdict_ignored()
    {
        start({"b", "c"});
        const auto asked = calls();
        answer(asked[0], true, 7);
        answer(asked[1], true, 9);
        confirmer_.on_tick(at(2000), out_);
        expect({verdict::confirmed});
    }

    void single_server_confirmed_at_once()
    {
        start({});
        expect({verdict::confirmed});
    }

    void current(bool primary, std::uint64_t sealed)
    {
        confirmer_.confirm_current(
            at(0), "ledger", "a", {"b", "c"}, 7, at(1000), out_,
            [this](moment, verdict value) { verdicts_.push_back(value); });
        proto::DatabaseReply reply;
        reply.mutable_status()->set_primary(primary);
        reply.mutable_status()->set_sealed_term(sealed);
        *reply.mutable_status()->mutable_last() = point_;
        out_.take_database(calls().at(0).tag())(at(1), &reply, true);
    }

    void current_primary_stepped_down_superseded()
    {
        current(false, 8);
        expect({verdict::superseded});
    }

    void current_primary_end_of_log_confirmed()
    {
        current(true, 7);
        const auto asked = calls();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, asked.size());
        answer(asked[0], true, 7, 2);
        expect({verdict::confirmed});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(write_confirmer_test);

} // namespace tanagerhoist

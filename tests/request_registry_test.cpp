#include "tanagerhoist/decision/request_registry.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class request_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_registry_test);
    CPPUNIT_TEST(arrive_repeat_in_flight_gets_same_answer);
    CPPUNIT_TEST(arrive_repeat_after_answer_gets_same_answer);
    CPPUNIT_TEST(arrive_after_refusal_runs_again);
    CPPUNIT_TEST(arrive_other_workspace_is_first);
    CPPUNIT_TEST(arrive_other_statement_is_mismatch);
    CPPUNIT_TEST(arrive_too_many_repeats_refused);
    CPPUNIT_TEST(drop_first_stays_in_flight);
    CPPUNIT_TEST(keep_bounded_by_time_and_bytes);
    CPPUNIT_TEST(keep_full_workspace_evicts_its_own_oldest);
    CPPUNIT_TEST_SUITE_END();

    using calls = std::vector<std::uint64_t>;

    request_registry registry_;
    moment now_;

    static proto::CallerRequest request(const std::string& id,
                                        const std::string& statement = "book")
    {
        proto::CallerRequest made;
        made.set_request_id(id);
        made.set_route("bookings");
        made.set_statement(statement);
        return made;
    }

    static proto::CallerReply reply(const std::string& value)
    {
        proto::CallerReply made;
        made.set_value(value);
        return made;
    }

    arrival arrive(std::uint64_t call, const std::string& workspace,
                   const proto::CallerRequest& made)
    {
        return registry_.arrive(now_, call, workspace, made).kind;
    }

    void answer(std::uint64_t call, const std::string& workspace,
                const std::string& id, const std::string& value)
    {
        CPPUNIT_ASSERT(arrive(call, workspace, request(id)) == arrival::first);
        registry_.finish(now_, call, reply(value), true);
    }

public:
    void arrive_repeat_in_flight_gets_same_answer()
    {
        CPPUNIT_ASSERT(arrive(1, "a", request("r")) == arrival::first);
        CPPUNIT_ASSERT(arrive(2, "a", request("r")) == arrival::attached);
        CPPUNIT_ASSERT(arrive(3, "a", request("r")) == arrival::attached);
        registry_.drop(2);
        CPPUNIT_ASSERT(registry_.finish(now_, 1, reply("v"), true) ==
                       (calls{1, 3}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry_.in_flight());
    }

    void arrive_repeat_after_answer_gets_same_answer()
    {
        answer(1, "a", "r", "v");
        const auto again = registry_.arrive(now_, 2, "a", request("r"));
        CPPUNIT_ASSERT(again.kind == arrival::answered);
        CPPUNIT_ASSERT_EQUAL(std::string("v"), again.answer->value());
    }

    void arrive_after_refusal_runs_again()
    {
        arrive(1, "a", request("r"));
        CPPUNIT_ASSERT(registry_.finish(now_, 1, reply(""), false) == calls{1});
        CPPUNIT_ASSERT(arrive(2, "a", request("r")) == arrival::first);
    }

    void arrive_other_workspace_is_first()
    {
        answer(1, "a", "r", "secret");
        CPPUNIT_ASSERT(arrive(2, "b", request("r")) == arrival::first);
        CPPUNIT_ASSERT(arrive(3, "a", request("")) == arrival::first);
        CPPUNIT_ASSERT(arrive(4, "a", request("")) == arrival::first);
        CPPUNIT_ASSERT(registry_.finish(now_, 4, reply(""), true) == calls{4});
    }

    void arrive_other_statement_is_mismatch()
    {
        arrive(1, "a", request("r"));
        CPPUNIT_ASSERT(arrive(2, "a", request("r", "x")) == arrival::mismatch);
        registry_.finish(now_, 1, reply("v"), true);
        CPPUNIT_ASSERT(arrive(3, "a", request("r", "x")) == arrival::mismatch);
    }

    void arrive_too_many_repeats_refused()
    {
        for (std::uint64_t call = 0; call < 9; ++call)
        {
            arrive(call, "a", request("r"));
        }
        CPPUNIT_ASSERT(arrive(9, "a", request("r")) ==
                       arrival::too_many_repeats);
    }

    void drop_first_stays_in_flight()
    {
        arrive(1, "a", request("r"));
        registry_.drop(1);
        CPPUNIT_ASSERT(arrive(2, "a", request("r")) == arrival::attached);
        CPPUNIT_ASSERT(registry_.finish(now_, 1, reply("v"), true) == calls{2});
    }

    void keep_bounded_by_time_and_bytes()
    {
        answer(1, "a", "r", "v");
        now_ += milliseconds(30'000);
        CPPUNIT_ASSERT(arrive(2, "a", request("r")) == arrival::first);
        registry_.on_tick(now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry_.kept_bytes());
        for (std::uint64_t i = 0; i < 200; ++i)
        {
            answer(10 + i, "w" + std::to_string(i % 20), std::to_string(i),
                   std::string(60'000, 'x'));
        }
        CPPUNIT_ASSERT(registry_.kept_bytes() <= 4U << 20U);
        CPPUNIT_ASSERT(registry_.kept() > 60);
    }

    void keep_full_workspace_evicts_its_own_oldest()
    {
        answer(1, "quiet", "r", "v");
        for (std::uint64_t i = 0; i < 40; ++i)
        {
            answer(10 + i, "loud", std::to_string(i), std::string(60'000, 'x'));
        }
        CPPUNIT_ASSERT(arrive(2, "quiet", request("r")) == arrival::answered);
        CPPUNIT_ASSERT(arrive(3, "loud", request("39")) == arrival::answered);
        CPPUNIT_ASSERT(arrive(4, "loud", request("0")) == arrival::first);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_registry_test);

} // namespace tanagerhoist

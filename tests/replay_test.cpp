#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/record/action_digest.hpp"
#include "tanagerhoist/record/replay.hpp"
#include "tests/fake_platform.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>

namespace tanagerhoist
{
namespace
{

constexpr std::uint64_t step_us = 20000;
constexpr int steps = 600;
constexpr int withdrawal_step = 400;

proto::Settings settings_of(std::uint64_t version, bool withdrawn)
{
    proto::Settings settings;
    settings.set_version(version);
    auto& database = *settings.add_database();
    database.set_name("loans");
    database.set_connections(30);
    database.set_slots(5);
    for (const char* name : {"loans-1", "loans-2", "loans-3"})
    {
        auto& server = *settings.add_server();
        server.set_name(name);
        server.set_database("loans");
        server.set_address("127.0.0.1");
        server.set_port(1);
        server.set_data_centre("east");
    }
    auto& workspace = *settings.add_workspace();
    workspace.set_name("branch");
    workspace.set_rate(100);
    workspace.set_burst(10);
    workspace.set_weight(1);
    auto& key = *settings.add_key();
    key.set_name("key1");
    key.set_workspace("branch");
    key.set_hash("aa");
    key.set_withdrawn(withdrawn ? "yes" : "no");
    for (const char* kind : {"read", "write"})
    {
        auto& route = *settings.add_route();
        route.set_name(kind);
        route.set_kind(kind);
        route.set_database("loans");
        route.set_deadline_ms(1000);
    }
    return settings;
}

/// Runs one node with scripted inputs and random failures from a fixed seed,
/// and records its inputs and actions.
class scripted_run
{
public:
    scripted_run()
    {
        start.set_vm("vm1");
        start.set_data_centre("east");
        node_ = std::make_unique<node>(options_of(start));
    }

    void run()
    {
        for (int step = 0; step < steps; ++step)
        {
            now_us_ += step_us;
            feed_peer(step);
            feed_caller(step);
            proto::Input tick;
            tick.mutable_tick();
            feed(tick);
            answer_calls();
        }
    }

    proto::RecordStart start;
    proto::RecordBatch record;
    std::map<std::uint32_t, int> answers; ///< answer count by code
    int failures = 0;                     ///< number of injected call failures

private:
    void feed(proto::Input input)
    {
        input.set_now_us(now_us_);
        input.set_wall_us(now_us_);
        const auto actions = node_->apply(input);
        auto& entry = *record.add_entry();
        *entry.mutable_input() = input;
        entry.set_actions_digest(digest_of(actions));
        entry.set_action_count(static_cast<std::uint32_t>(actions.size()));
        for (const auto& action : actions)
        {
            if (action.has_answer_caller())
            {
                ++answers[action.answer_caller().reply().code()];
            }
            pending_actions_.push_back(action);
        }
    }

    void feed_peer(int step)
    {
        proto::Input input;
        auto& message = *input.mutable_peer();
        message.mutable_from()->set_vm("vm2");
        message.mutable_from()->set_number(9);
        message.set_to("vm1");
        if (step == 10 || step == withdrawal_step)
        {
            *message.mutable_settings_push()->mutable_settings() =
                settings_of(step == 10 ? 1 : 2, step != 10);
        }
        else
        {
            auto& heartbeat = *message.mutable_heartbeat();
            heartbeat.set_data_centre("east");
            heartbeat.set_sent_us(now_us_);
            if (step == 20)
            {
                auto& belief = *heartbeat.add_primary();
                belief.set_database("loans");
                belief.set_server("loans-1");
                belief.set_term(1);
            }
        }
        feed(input);
    }

    void feed_caller(int step)
    {
        proto::Input input;
        auto& arrived = *input.mutable_caller_arrived();
        arrived.set_call(static_cast<std::uint64_t>(step) + 1);
        arrived.set_caller(1);
        arrived.mutable_principal()->set_key_id("key1");
        arrived.mutable_principal()->set_workspace("branch");
        arrived.mutable_principal()->set_key_hash("aa");
        auto& request = *arrived.mutable_request();
        request.set_request_id("r" + std::to_string(step));
        request.set_route(step % 3 == 0 ? "write" : "read");
        request.mutable_token()->set_session("s");
        (*request.mutable_token()->mutable_seen())["loans"].set_term(1);
        (*request.mutable_token()->mutable_seen())["other"].set_term(1);
        request.set_statement("statement");
        feed(input);
    }

    void answer_calls()
    {
        auto calls = std::exchange(pending_actions_, {});
        for (const auto& action : calls)
        {
            proto::Input input;
            if (action.has_open_connection())
            {
                input.mutable_connection_opened()->set_connection(
                    action.open_connection().connection());
                feed(input);
            }
            else if (action.has_call_database())
            {
                answer_database(action.call_database());
            }
            else if (action.has_call_platform())
            {
                answer_platform(action.call_platform());
            }
        }
    }

    void answer_database(const proto::CallDatabase& call)
    {
        proto::Input input;
        if (random_() % 10 == 0)
        {
            ++failures;
            input.mutable_database_failed()->set_tag(call.tag());
            input.mutable_database_failed()->set_sent(random_() % 2 == 0);
            feed(input);
            return;
        }
        auto& answered = *input.mutable_database_answered();
        answered.set_tag(call.tag());
        proto::LogPoint point;
        point.set_term(1);
        point.set_position(now_us_);
        if (call.call().has_execute())
        {
            *answered.mutable_reply()->mutable_execute()->mutable_point() =
                point;
        }
        else if (call.call().has_status())
        {
            auto& status = *answered.mutable_reply()->mutable_status();
            *status.mutable_last() = point;
            status.set_holds(true);
            status.set_sealed_term(1);
            status.set_primary(call.server() == "loans-1");
        }
        feed(input);
    }

    void answer_platform(const proto::CallPlatform& call)
    {
        proto::Input input;
        const auto reply =
            random_() % 10 == 0 ? std::nullopt : platform_.handle(call.call());
        if (!reply)
        {
            ++failures;
            input.mutable_platform_failed()->set_tag(call.tag());
            feed(input);
            return;
        }
        input.mutable_platform_answered()->set_tag(call.tag());
        *input.mutable_platform_answered()->mutable_reply() = *reply;
        if (call.call().has_list())
        {
            auto& answer = *input.mutable_platform_answered()->mutable_reply();
            answer.set_outcome(proto::PLATFORM_OK);
            answer.add_listed()->set_vm("vm1");
            answer.add_listed()->set_vm("vm2");
        }
        feed(input);
    }

    std::unique_ptr<node> node_;
    fake_platform platform_;
    std::deque<proto::Action> pending_actions_;
    std::mt19937 random_{17};
    std::uint64_t now_us_ = 0;
};

} // namespace

class replay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replay_test);
    CPPUNIT_TEST(recorded_run_with_faults_replays_identically);
    CPPUNIT_TEST(changed_digest_is_reported_at_its_index);
    CPPUNIT_TEST(changed_count_is_reported_at_its_index);
    CPPUNIT_TEST(changed_input_is_reported_at_its_index);
    CPPUNIT_TEST(missing_input_is_reported_as_gap);
    CPPUNIT_TEST(missing_first_batch_is_reported_as_gap);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { run_.run(); }

    void recorded_run_with_faults_replays_identically()
    {
        CPPUNIT_ASSERT(run_.failures > 0);
        CPPUNIT_ASSERT(run_.answers[0] > 0);
        CPPUNIT_ASSERT(run_.answers[static_cast<std::uint32_t>(
                           result_code::key_withdrawn)] > 0);
        replay replayed(run_.start);
        CPPUNIT_ASSERT(!replayed.feed(run_.record));
        CPPUNIT_ASSERT_EQUAL(size(), replayed.matching_inputs());
    }

    void changed_digest_is_reported_at_its_index()
    {
        const int index = run_.record.entry_size() / 2;
        auto& entry = *run_.record.mutable_entry(index);
        entry.set_actions_digest(entry.actions_digest() + 1);
        expect(replay_failure::reason::difference, index);
    }

    void changed_count_is_reported_at_its_index()
    {
        const int index = run_.record.entry_size() - 1;
        auto& entry = *run_.record.mutable_entry(index);
        entry.set_action_count(entry.action_count() + 1);
        expect(replay_failure::reason::difference, index);
    }

    void changed_input_is_reported_at_its_index()
    {
        for (int i = run_.record.entry_size() / 2;; ++i)
        {
            auto& entry = *run_.record.mutable_entry(i);
            if (entry.input().has_caller_arrived())
            {
                entry.mutable_input()->mutable_caller_arrived()->set_refused(
                    static_cast<std::uint32_t>(result_code::request_too_large));
                expect(replay_failure::reason::difference, i);
                return;
            }
        }
    }

    void missing_input_is_reported_as_gap()
    {
        const int missing = 100;
        proto::RecordBatch later;
        later.set_first_index(missing + 1);
        later.set_dropped(1);
        for (int i = missing + 1; i < run_.record.entry_size(); ++i)
        {
            *later.add_entry() = run_.record.entry(i);
        }
        run_.record.mutable_entry()->DeleteSubrange(
            missing, run_.record.entry_size() - missing);
        replay replayed(run_.start);
        CPPUNIT_ASSERT(!replayed.feed(run_.record));
        const auto failure = replayed.feed(later);
        CPPUNIT_ASSERT(failure && failure->why == replay_failure::reason::gap);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{missing}, failure->index);
    }

    void missing_first_batch_is_reported_as_gap()
    {
        run_.record.set_first_index(5);
        expect(replay_failure::reason::gap, 0);
    }

private:
    std::uint64_t size() const
    {
        return static_cast<std::uint64_t>(run_.record.entry_size());
    }

    void expect(replay_failure::reason why, int index)
    {
        replay replayed(run_.start);
        const auto failure = replayed.feed(run_.record);
        CPPUNIT_ASSERT(failure && failure->why == why);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(index), failure->index);
        CPPUNIT_ASSERT_EQUAL(failure->index, replayed.matching_inputs());
    }

    scripted_run run_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(replay_test);

} // namespace tanagerhoist

#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/decision/hybrid_clock.hpp"
#include "tanagerhoist/record/explanation.hpp"
#include "tanagerhoist/record/timeline.hpp"
#include "tanagerhoist/record/timeline_svg.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{
namespace
{

proto::Event event_of(const char* vm, std::uint64_t time, const char* kind,
                      const char* rule = "")
{
    proto::Event event;
    event.set_vm(vm);
    event.set_hybrid_time(time);
    event.set_wall_us(time);
    event.set_kind(kind);
    event.set_rule(rule);
    return event;
}

proto::Event step_of(std::uint64_t time, const char* kind,
                     const char* rule = "")
{
    auto event = event_of("vm1", time, kind, rule);
    event.set_request_id("r1");
    event.set_session("s1");
    event.set_workspace("branch");
    event.set_database("loans");
    event.set_server("loans-1");
    event.set_settings_version(7);
    return event;
}

std::vector<proto::Event> failover_events()
{
    auto lost = event_of("vm2", 5, "primary_lost");
    lost.set_database("loans");
    auto other = event_of("vm2", 6, "primary_lost");
    other.set_database("gloves");
    auto refused = step_of(9, "answered", "write");
    refused.set_code(static_cast<std::uint32_t>(result_code::no_primary));
    return {event_of("vm1", 1, "enrolled"),
            step_of(2, "arrived"),
            step_of(3, "queued", "primary"),
            step_of(4, "dispatched", "primary"),
            lost,
            other,
            step_of(7, "retried", "same_lane"),
            event_of("vm1", 8, "isolated"),
            refused};
}

bool contains(const std::string& text, const char* part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class timeline_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(timeline_test);
    CPPUNIT_TEST(skewed_clocks_keep_cause_before_effect);
    CPPUNIT_TEST(equal_times_are_ordered_by_vm_and_sequence);
    CPPUNIT_TEST(duplicate_batch_shows_events_once);
    CPPUNIT_TEST(filter_selects_by_each_field_and_period);
    CPPUNIT_TEST(refused_request_is_explained_with_primary_change);
    CPPUNIT_TEST(unknown_request_is_reported_as_missing);
    CPPUNIT_TEST(svg_has_lane_per_vm_and_escaped_labels);
    CPPUNIT_TEST_SUITE_END();

public:
    void skewed_clocks_keep_cause_before_effect()
    {
        constexpr std::uint64_t sender_wall = 9'000'000'000;
        constexpr std::uint64_t receiver_wall = 1'000'000;
        hybrid_clock sender;
        hybrid_clock receiver;
        sender.observe_wall(sender_wall);
        receiver.observe_wall(receiver_wall);
        auto cause = event_of("vm2", sender.tick(), "primary_lost");
        cause.set_wall_us(sender_wall);
        receiver.observe(sender.tick()); // timestamp of the received message
        auto effect = event_of("vm1", receiver.tick(), "promotion_started");
        effect.set_wall_us(receiver_wall);
        const auto merged = merge({batch_of({effect}), batch_of({cause})});
        CPPUNIT_ASSERT_EQUAL(cause.kind(), merged.events.at(0).kind());
        CPPUNIT_ASSERT_EQUAL(effect.kind(), merged.events.at(1).kind());
    }

    void equal_times_are_ordered_by_vm_and_sequence()
    {
        auto second = event_of("vm1", 1, "b");
        second.set_sequence(2);
        auto first = event_of("vm1", 1, "a");
        first.set_sequence(1);
        const auto merged =
            merge({batch_of({event_of("vm2", 1, "c"), second, first})});
        std::string kinds;
        for (const auto& event : merged.events)
        {
            kinds += event.kind();
        }
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), kinds);
    }

    void duplicate_batch_shows_events_once()
    {
        auto batch = batch_of(failover_events());
        batch.set_dropped(3);
        const auto merged = merge({batch, batch});
        CPPUNIT_ASSERT_EQUAL(failover_events().size(), merged.events.size());
    }

    void filter_selects_by_each_field_and_period()
    {
        const auto all = failover_events();
        event_filter filter;
        CPPUNIT_ASSERT_EQUAL(all.size(), select(all, filter).size());
        filter.session = "s1";
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, select(all, filter).size());
        filter.request = "r1";
        filter.workspace = "branch";
        filter.database = "loans";
        filter.from = microseconds(3);
        filter.to = microseconds(9);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, select(all, filter).size());
        filter.request = "r2";
        CPPUNIT_ASSERT(select(all, filter).empty());
    }

    void refused_request_is_explained_with_primary_change()
    {
        const auto sentences = explain(failover_events(), "r1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, sentences.size());
        CPPUNIT_ASSERT(
            contains(sentences[0], "arrived for workspace 'branch'"));
        CPPUNIT_ASSERT(contains(sentences[2], "sent to 'loans-1'"));
        CPPUNIT_ASSERT(
            contains(sentences[3], "vm2: meanwhile, primary lost loans"));
        CPPUNIT_ASSERT(contains(sentences[4], "tried again"));
        CPPUNIT_ASSERT(contains(sentences[5], "isolated"));
        CPPUNIT_ASSERT(contains(sentences[6], "206 (no_primary"));
        CPPUNIT_ASSERT(contains(sentences[6], "no primary took the request"));
        CPPUNIT_ASSERT(contains(sentences[6], "settings version 7"));
    }

    void unknown_request_is_reported_as_missing()
    {
        const auto sentences = explain(failover_events(), "r9");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sentences.size());
        CPPUNIT_ASSERT(contains(sentences[0], "No event names request 'r9'"));
    }

    void svg_has_lane_per_vm_and_escaped_labels()
    {
        auto events = failover_events();
        events.front().set_detail("<&>");
        const auto svg = to_svg(events);
        CPPUNIT_ASSERT(contains(svg, ">vm1</text>"));
        CPPUNIT_ASSERT(contains(svg, ">vm2</text>"));
        CPPUNIT_ASSERT(contains(svg, "primary_lost loans"));
        CPPUNIT_ASSERT(contains(svg, "&lt;&amp;&gt;"));
        CPPUNIT_ASSERT(contains(to_svg({}), "</svg>"));
    }

private:
    static proto::EventBatch batch_of(const std::vector<proto::Event>& events)
    {
        proto::EventBatch batch;
        for (const auto& event : events)
        {
            *batch.add_event() = event;
        }
        return batch;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(timeline_test);

} // namespace tanagerhoist

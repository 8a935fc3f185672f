#include "tanagerhoist/decision/publish_plan.hpp"

#include "fake_platform.hpp"
#include "tanagerhoist/decision/settings_rows.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{
namespace
{

using end = publish_outcome;

publish_plan plan_of(const std::string& publisher, std::uint64_t from)
{
    publish_request order;
    order.settings.add_workspace()->set_name(publisher);
    order.from_version = from;
    order.publisher = publisher;
    order.publish_id = publisher + std::to_string(from);
    return publish_plan(order);
}

/// Makes the plan's next call.
/// @return false if the plan has ended
bool step(publish_plan& plan, fake_platform& platform)
{
    const auto call = plan.next();
    if (!call)
    {
        return false;
    }
    const auto reply = platform.handle(*call);
    reply ? plan.on_reply(*reply) : plan.on_failure(true);
    return true;
}

publish_result run(publish_plan& plan, fake_platform& platform)
{
    constexpr int max_steps = 50;
    for (int i = 0; i < max_steps && step(plan, platform); ++i)
    {
    }
    CPPUNIT_ASSERT(!plan.next());
    return plan.result();
}

publish_result publish(const std::string& publisher, std::uint64_t from,
                       fake_platform& platform)
{
    auto plan = plan_of(publisher, from);
    return run(plan, platform);
}

proto::SettingsHead head_of(fake_platform& platform)
{
    proto::SettingsHead head;
    head.ParseFromString(platform.rows[settings_head_row].second);
    return head;
}

bool writes_head(const publish_plan& plan)
{
    const auto call = plan.next();
    return call && call->has_table_write();
}

/// Runs a new plan until its next call is the write of the head.
publish_plan ready_to_write(const std::string& publisher, std::uint64_t from,
                            fake_platform& platform)
{
    auto plan = plan_of(publisher, from);
    while (!writes_head(plan) && step(plan, platform))
    {
    }
    CPPUNIT_ASSERT(writes_head(plan));
    return plan;
}

} // namespace

class publish_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(publish_plan_test);
    CPPUNIT_TEST(publish_in_sequence_increments_version_and_bundle_opens);
    CPPUNIT_TEST(publish_from_old_version_reports_conflict);
    CPPUNIT_TEST(publish_concurrently_exactly_one_succeeds);
    CPPUNIT_TEST(publish_reply_lost_after_change_is_published_once);
    CPPUNIT_TEST(publish_reply_lost_then_replaced_is_published_superseded);
    CPPUNIT_TEST(publish_reply_lost_after_rejection_is_conflict);
    CPPUNIT_TEST(publish_delayed_call_takes_effect_once);
    CPPUNIT_TEST(publish_outage_before_head_publishes_nothing);
    CPPUNIT_TEST(publish_outage_at_head_is_unknown);
    CPPUNIT_TEST(publish_call_never_sent_publishes_nothing);
    CPPUNIT_TEST(publish_unreadable_head_publishes_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void publish_in_sequence_increments_version_and_bundle_opens()
    {
        fake_platform platform;
        for (std::uint64_t from = 0; from < 3; ++from)
        {
            const auto result = publish("ann", from, platform);
            CPPUNIT_ASSERT(result.outcome == end::published);
            CPPUNIT_ASSERT_EQUAL(from + 1, result.version);
        }
        const auto head = head_of(platform);
        const auto settings =
            open_bundle(head.bundle(), platform.objects[head.bundle()]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), head.version());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), settings->version());
    }

    void publish_from_old_version_reports_conflict()
    {
        fake_platform platform;
        publish("ann", 0, platform);
        const auto result = publish("bob", 0, platform);
        CPPUNIT_ASSERT(result.outcome == end::conflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), result.other_version);
        CPPUNIT_ASSERT_EQUAL(std::string("ann"), result.other_publisher);
        CPPUNIT_ASSERT(to_text(result).find("version 1 by ann") !=
                       std::string::npos);
    }

    void publish_concurrently_exactly_one_succeeds()
    {
        fake_platform platform;
        auto ann = ready_to_write("ann", 0, platform);
        auto bob = ready_to_write("bob", 0, platform);
        CPPUNIT_ASSERT(run(bob, platform).outcome == end::published);
        const auto result = run(ann, platform);
        CPPUNIT_ASSERT(result.outcome == end::conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("bob"), result.other_publisher);
        CPPUNIT_ASSERT_EQUAL(1U, platform.writes);
    }

    void publish_reply_lost_after_change_is_published_once()
    {
        fake_platform platform;
        auto plan = ready_to_write("ann", 0, platform);
        platform.lose_replies = 2;
        CPPUNIT_ASSERT(run(plan, platform).outcome == end::published);
        CPPUNIT_ASSERT_EQUAL(1U, platform.writes);
    }

    void publish_reply_lost_then_replaced_is_published_superseded()
    {
        fake_platform platform;
        auto plan = ready_to_write("ann", 0, platform);
        platform.lose_replies = 1;
        step(plan, platform);
        publish("bob", 1, platform);
        publish("bob", 2, platform);
        const auto result = run(plan, platform);
        CPPUNIT_ASSERT(result.outcome == end::published && result.superseded);
        CPPUNIT_ASSERT_EQUAL(std::string("bob"), head_of(platform).publisher());
    }

    void publish_reply_lost_after_rejection_is_conflict()
    {
        fake_platform platform;
        auto plan = ready_to_write("ann", 0, platform);
        publish("bob", 0, platform);
        publish("bob", 1, platform);
        platform.lose_replies = 1;
        const auto result = run(plan, platform);
        CPPUNIT_ASSERT(result.outcome == end::conflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), result.other_version);
    }

    void publish_delayed_call_takes_effect_once()
    {
        fake_platform platform;
        auto plan = ready_to_write("ann", 0, platform);
        const auto delayed = *plan.next();
        plan.on_failure(true);
        step(plan, platform); // reads the unchanged head
        CPPUNIT_ASSERT(writes_head(plan));
        platform.handle(delayed);
        CPPUNIT_ASSERT(run(plan, platform).outcome == end::published);
        CPPUNIT_ASSERT_EQUAL(1U, platform.writes);
    }

    void publish_outage_before_head_publishes_nothing()
    {
        fake_platform platform;
        auto plan = plan_of("ann", 0);
        step(plan, platform);
        platform.down = true;
        CPPUNIT_ASSERT(run(plan, platform).outcome == end::nothing_published);
        CPPUNIT_ASSERT_EQUAL(0U, platform.writes);
    }

    void publish_outage_at_head_is_unknown()
    {
        fake_platform platform;
        auto plan = ready_to_write("ann", 0, platform);
        platform.down = true;
        const auto result = run(plan, platform);
        CPPUNIT_ASSERT(result.outcome == end::unknown);
        CPPUNIT_ASSERT(to_text(result).find("not known whether") == 0);
    }

    void publish_call_never_sent_publishes_nothing()
    {
        fake_platform platform;
        auto plan = ready_to_write("ann", 0, platform);
        while (plan.next())
        {
            plan.on_failure(false);
        }
        CPPUNIT_ASSERT(plan.result().outcome == end::nothing_published);
    }

    void publish_unreadable_head_publishes_nothing()
    {
        fake_platform platform;
        platform.rows[settings_head_row] = {7, "\xff"};
        CPPUNIT_ASSERT(publish("ann", 0, platform).outcome ==
                       end::nothing_published);
        CPPUNIT_ASSERT_EQUAL(0U, platform.writes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(publish_plan_test);

} // namespace tanagerhoist

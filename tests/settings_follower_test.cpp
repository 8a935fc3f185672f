#include "tanagerhoist/decision/settings_follower.hpp"

#include "fake_platform.hpp"
#include "tanagerhoist/decision/publish_plan.hpp"
#include "tanagerhoist/decision/settings_rows.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{
namespace
{

moment at(int ms)
{
    return moment(milliseconds(ms));
}

void publish(fake_platform& platform, std::uint64_t from)
{
    publish_request order;
    order.from_version = from;
    order.publish_id = std::to_string(from);
    publish_plan plan(order);
    while (const auto call = plan.next())
    {
        plan.on_reply(*platform.handle(*call));
    }
    CPPUNIT_ASSERT(plan.result().outcome == publish_outcome::published);
}

proto::Settings version(std::uint64_t number)
{
    proto::Settings settings;
    settings.set_version(number);
    return settings;
}

proto::Incarnation peer()
{
    proto::Incarnation incarnation;
    incarnation.set_vm("vm2");
    incarnation.set_number(9);
    return incarnation;
}

proto::VmStatusRow acknowledged(fake_platform& platform)
{
    proto::VmStatusRow row;
    row.ParseFromString(platform.rows[vm_status_row("vm1")].second);
    return row;
}

} // namespace

class settings_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_follower_test);
    CPPUNIT_TEST(poll_new_head_adopts_and_acknowledges);
    CPPUNIT_TEST(poll_disabled_makes_no_call);
    CPPUNIT_TEST(poll_interval_bounds_reads);
    CPPUNIT_TEST(adopt_lower_version_never);
    CPPUNIT_TEST(bundle_replaced_or_of_other_version_is_refused);
    CPPUNIT_TEST(bundle_missing_is_no_contact_until_fetched);
    CPPUNIT_TEST(contact_uses_send_time);
    CPPUNIT_TEST(missing_reply_does_not_stop_polling);
    CPPUNIT_TEST(new_vm_starts_from_peer_during_outage);
    CPPUNIT_TEST(peer_ask_answered_only_with_newer);
    CPPUNIT_TEST(peer_requests_are_rate_limited);
    CPPUNIT_TEST(acknowledge_waits_for_incarnation);
    CPPUNIT_TEST(acknowledge_retries_until_confirmed);
    CPPUNIT_TEST(acknowledge_replaces_earlier_incarnation_only);
    CPPUNIT_TEST(acknowledge_calls_bounded_during_outage);
    CPPUNIT_TEST_SUITE_END();

    identity self_{"vm1", "a", 5};
    fake_platform platform_;
    outbox out_;

    std::vector<proto::Action> tick(settings_follower& f, int ms,
                                    bool polls = true)
    {
        f.on_tick(at(ms), polls, out_);
        return platform_.serve(at(ms), out_);
    }

public:
    void poll_new_head_adopts_and_acknowledges()
    {
        settings_follower f(self_);
        CPPUNIT_ASSERT(f.current() == nullptr);
        tick(f, 100);
        publish(platform_, 0);
        const auto actions = tick(f, 600);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             actions[0].use_settings().settings().version());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), f.current()->version());
        tick(f, 650);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             acknowledged(platform_).settings_version());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5),
                             acknowledged(platform_).incarnation());
    }

    void poll_disabled_makes_no_call()
    {
        settings_follower f(self_);
        f.on_tick(at(100), false, out_);
        CPPUNIT_ASSERT(out_.take_actions().empty());
        CPPUNIT_ASSERT(f.last_platform_contact() == moment());
    }

    void poll_interval_bounds_reads()
    {
        settings_follower f(self_);
        unsigned calls = 0;
        for (int t = 0; t < 5000; t += 50)
        {
            f.on_tick(at(t), true, out_);
            const auto actions = out_.take_actions();
            calls += static_cast<unsigned>(actions.size());
            for (const auto& action : actions)
            {
                const proto::PlatformReply empty;
                out_.take_platform(action.call_platform().tag())(at(t), &empty);
            }
        }
        CPPUNIT_ASSERT_EQUAL(10U, calls);
    }

    void adopt_lower_version_never()
    {
        settings_follower f(self_);
        f.on_peer_push(at(1), version(7), out_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), out_.take_actions().size());
        f.on_peer_push(at(2), version(6), out_);
        f.on_peer_push(at(3), version(7), out_);
        publish(platform_, 0);
        CPPUNIT_ASSERT(tick(f, 100).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), f.version());
    }

    void bundle_replaced_or_of_other_version_is_refused()
    {
        settings_follower f(self_);
        publish(platform_, 0);
        for (auto& object : platform_.objects)
        {
            proto::Settings other = version(1);
            other.add_workspace()->set_name("exchanged");
            object.second = make_bundle(other).content;
        }
        tick(f, 100);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), f.refused_bundles());
        const auto wrong = make_bundle(version(9));
        platform_.objects[wrong.name] = wrong.content;
        proto::SettingsHead head;
        head.set_version(8);
        head.set_bundle(wrong.name);
        platform_.rows[settings_head_row].second = head.SerializeAsString();
        tick(f, 600);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), f.refused_bundles());
        CPPUNIT_ASSERT(f.current() == nullptr);
        CPPUNIT_ASSERT(f.last_platform_contact() == moment());
    }

    void bundle_missing_is_no_contact_until_fetched()
    {
        settings_follower f(self_);
        publish(platform_, 0);
        const auto objects = std::exchange(platform_.objects, {});
        tick(f, 100);
        CPPUNIT_ASSERT(f.last_platform_contact() == moment());
        platform_.objects = objects;
        tick(f, 600);
        CPPUNIT_ASSERT(f.last_platform_contact() == at(600));
    }

    void contact_uses_send_time()
    {
        settings_follower f(self_);
        f.on_tick(at(100), true, out_);
        platform_.serve(at(450), out_);
        CPPUNIT_ASSERT(f.last_platform_contact() == at(100));
    }

    void missing_reply_does_not_stop_polling()
    {
        settings_follower f(self_);
        f.on_tick(at(100), true, out_);
        out_.take_actions();
        tick(f, 600);
        CPPUNIT_ASSERT(f.last_platform_contact() == moment());
        tick(f, 900);
        CPPUNIT_ASSERT(f.last_platform_contact() == at(900));
    }

    void new_vm_starts_from_peer_during_outage()
    {
        platform_.down = true;
        settings_follower older(self_);
        older.on_peer_push(at(1), version(3), out_);
        out_.take_actions();
        settings_follower fresh(self_);
        tick(fresh, 100);
        fresh.on_peer_version(at(150), peer(), 3, out_);
        const auto asked = out_.take_actions();
        CPPUNIT_ASSERT_EQUAL(std::string("vm2"), asked.at(0).send_peer().to());
        older.on_peer_ask(at(150), peer(),
                          asked.at(0).send_peer().settings_ask(), out_);
        const auto pushed = out_.take_actions();
        fresh.on_peer_push(
            at(151), pushed.at(0).send_peer().settings_push().settings(), out_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), fresh.version());
    }

    void peer_ask_answered_only_with_newer()
    {
        settings_follower f(self_);
        proto::SettingsAsk ask;
        f.on_peer_ask(at(1), peer(), ask, out_);
        f.on_peer_push(at(2), version(4), out_);
        out_.take_actions();
        ask.set_have_version(4);
        f.on_peer_ask(at(3), peer(), ask, out_);
        CPPUNIT_ASSERT(out_.take_actions().empty());
    }

    void peer_requests_are_rate_limited()
    {
        settings_follower f(self_);
        for (int t = 1000; t < 2000; t += 10)
        {
            f.on_peer_version(at(t), peer(), 3, out_);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), out_.take_actions().size());
        f.on_peer_push(at(2000), version(3), out_);
        out_.take_actions();
        f.on_peer_version(at(3000), peer(), 3, out_);
        CPPUNIT_ASSERT(out_.take_actions().empty());
    }

    void acknowledge_waits_for_incarnation()
    {
        self_.number = 0;
        settings_follower f(self_);
        f.on_peer_push(at(1), version(2), out_);
        tick(f, 100, false);
        CPPUNIT_ASSERT(platform_.rows.empty());
        self_.number = 6;
        tick(f, 150, false);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6),
                             acknowledged(platform_).incarnation());
    }

    void acknowledge_retries_until_confirmed()
    {
        settings_follower f(self_);
        f.on_peer_push(at(1), version(2), out_);
        platform_.down = true;
        tick(f, 100, false);
        platform_.down = false;
        platform_.lose_replies = 1;
        for (int t = 150; t < 5000; t += 50)
        {
            tick(f, t, false);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                             acknowledged(platform_).settings_version());
        CPPUNIT_ASSERT_EQUAL(1U, platform_.writes);
        f.on_peer_push(at(5000), version(3), out_);
        tick(f, 5000, false);
        CPPUNIT_ASSERT_EQUAL(2U, platform_.writes);
    }

    void acknowledge_calls_bounded_during_outage()
    {
        settings_follower f(self_);
        f.on_peer_push(at(1), version(2), out_);
        out_.take_actions();
        unsigned calls = 0;
        for (int t = 100; t < 5100; t += 50)
        {
            f.on_tick(at(t), false, out_);
            for (const auto& action : out_.take_actions())
            {
                ++calls;
                out_.take_platform(action.call_platform().tag())(at(t),
                                                                 nullptr);
            }
        }
        CPPUNIT_ASSERT_EQUAL(10U, calls);
    }

    void acknowledge_replaces_earlier_incarnation_only()
    {
        for (const std::uint64_t incarnation : {4, 6})
        {
            proto::VmStatusRow row;
            row.set_incarnation(incarnation);
            row.set_settings_version(9);
            platform_.rows[vm_status_row("vm1")] = {30,
                                                    row.SerializeAsString()};
            settings_follower f(self_);
            f.on_peer_push(at(1), version(2), out_);
            tick(f, 100, false);
            tick(f, 1000, false);
            CPPUNIT_ASSERT_EQUAL(std::max(incarnation, self_.number),
                                 acknowledged(platform_).incarnation());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_follower_test);

} // namespace tanagerhoist

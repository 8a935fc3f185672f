#include "standin/limits_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <string>

namespace tanagerhoist
{

using standin::limits_simulation;

class limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limiter_test);
    CPPUNIT_TEST(burst_at_one_vm_is_served_whole);
    CPPUNIT_TEST(share_spent_is_refused_not_held);
    CPPUNIT_TEST(holder_frozen_and_reclaimed_spends_nothing);
    CPPUNIT_TEST(holder_frozen_but_listed_spends_again);
    CPPUNIT_TEST(holder_cut_from_peers_keeps_its_slice);
    CPPUNIT_TEST(platform_down_takes_no_slice);
    CPPUNIT_TEST(dead_holders_two_give_the_whole_back);
    CPPUNIT_TEST(replies_lost_keep_the_sum);
    CPPUNIT_TEST(rate_lowered_holds_from_then_on);
    CPPUNIT_TEST(leaving_vm_hands_over_all);
    CPPUNIT_TEST(connections_move_to_who_wants_them);
    CPPUNIT_TEST(connections_beyond_use_of_slots_not_opened);
    CPPUNIT_TEST(wall_clock_leap_stops_spending);
    CPPUNIT_TEST(workspaces_by_hundreds_are_reclaimed);
    CPPUNIT_TEST(rows_unchanged_are_read_rarely);
    CPPUNIT_TEST(fresh_fleet_serves_the_whole_burst);
    CPPUNIT_TEST(replaced_fleet_starts_without_tokens);
    CPPUNIT_TEST(hints_of_many_are_told_in_rotation);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        scene_ = std::make_unique<limits_simulation>(options(20, 40));
        scene_->advance(std::chrono::seconds(10));
    }

    void burst_at_one_vm_is_served_whole()
    {
        ask(0, 40);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, admitted());
    }

    void share_spent_is_refused_not_held()
    {
        ask(0, 41);
        scene_->advance(milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{41},
                             admitted() + scene_->counts().at("w").refused);
    }

    void holder_frozen_and_reclaimed_spends_nothing()
    {
        scene_->freeze(1);
        scene_->drop(1);
        scene_->advance(std::chrono::seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, in_sight());
        scene_->thaw(1);
        scene_->relist(1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, parts(1));
        ask(1, 5);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, admitted());
        scene_->advance(std::chrono::seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, in_sight());
        ask(1, 5); // under a new number
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, admitted());
    }

    void holder_frozen_but_listed_spends_again()
    {
        scene_->freeze(1);
        scene_->advance(std::chrono::seconds(30));
        CPPUNIT_ASSERT(in_sight() < share_parts);
        scene_->thaw(1);
        scene_->advance(std::chrono::seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, in_sight());
    }

    void holder_cut_from_peers_keeps_its_slice()
    {
        scene_->cut_peers(1, true);
        scene_->advance(std::chrono::seconds(30));
        CPPUNIT_ASSERT(parts(1) != 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, in_sight());
    }

    void platform_down_takes_no_slice()
    {
        scene_->platform().set_down(true);
        scene_->advance(std::chrono::seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, in_sight());
        ask(3, 40);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, admitted());
    }

    void dead_holders_two_give_the_whole_back()
    {
        ask(2, 30); // so that slices have moved between the two
        for (const std::size_t vm : {1, 2})
        {
            scene_->kill(vm);
            scene_->drop(vm);
            scene_->advance(std::chrono::seconds(3));
        }
        scene_->advance(std::chrono::seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, in_sight());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, parts(0) + parts(3));
    }

    void replies_lost_keep_the_sum()
    {
        scene_->kill(1);
        scene_->drop(1);
        for (int second = 0; second < 20; ++second)
        {
            scene_->platform().lose_replies(3);
            scene_->advance(std::chrono::seconds(1));
            CPPUNIT_ASSERT(in_sight() <= share_parts);
        }
        scene_->platform().lose_replies(0);
        scene_->advance(std::chrono::seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, in_sight());
    }

    void rate_lowered_holds_from_then_on()
    {
        scene_->use_settings(options(20, 4).settings);
        scene_->advance(milliseconds(100));
        ask(0, 40);
        CPPUNIT_ASSERT(admitted() <= 4 + 20 * 150 / 1000);
    }

    void leaving_vm_hands_over_all()
    {
        scene_->leave(1);
        scene_->advance(std::chrono::seconds(1));
        CPPUNIT_ASSERT(scene_->limits(1).handed_over());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, parts(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, in_sight());
        ask(0, 40);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, admitted());
    }

    void connections_beyond_use_of_slots_not_opened()
    {
        proto::DatabaseSettings database;
        database.set_connections(30);
        database.set_slots(5);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, useful_connections(database));
        database.set_slots(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, useful_connections(database));
        database.set_connections(3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, useful_connections(database));
    }

    void connections_move_to_who_wants_them()
    {
        scene_->want_connections(2, "s", 9, 0);
        scene_->advance(milliseconds(200));
        CPPUNIT_ASSERT(scene_->limits(2).connections("s") >= 9);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12},
                             scene_->usable_and_free_parts("server/s"));
    }

    void wall_clock_leap_stops_spending()
    {
        scene_->limits(1).doubt_place();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, parts(1));
        scene_->advance(std::chrono::seconds(8));
        CPPUNIT_ASSERT(parts(1) != 0);
    }

    void workspaces_by_hundreds_are_reclaimed()
    {
        auto many = options(20, 40);
        for (int i = 0; i < 200; ++i)
        {
            auto& workspace = *many.settings.add_workspace();
            workspace.set_name("w" + std::to_string(i));
            workspace.set_rate(20);
            workspace.set_burst(40);
        }
        scene_ = std::make_unique<limits_simulation>(many);
        scene_->advance(std::chrono::seconds(10));
        ask(0, 40);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, admitted());
        scene_->kill(1);
        scene_->drop(1);
        scene_->advance(std::chrono::seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, lacking(200));
    }

    void rows_unchanged_are_read_rarely()
    {
        scene_->advance(std::chrono::seconds(120));
        scene_->reset_counts();
        scene_->advance(std::chrono::seconds(60));
        const std::uint64_t lists = 240; // four VMs, 60 s, one a second
        const std::uint64_t rows = 24;   // four VMs, two rows, three reads
        CPPUNIT_ASSERT(scene_->platform_calls() < lists + rows);
    }

    void fresh_fleet_serves_the_whole_burst()
    {
        scene_ = std::make_unique<limits_simulation>(options(1, 40));
        scene_->advance(std::chrono::seconds(2));
        ask(0, 41);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, admitted());
    }

    void replaced_fleet_starts_without_tokens()
    {
        scene_ = std::make_unique<limits_simulation>(options(1, 40));
        scene_->advance(std::chrono::seconds(2));
        for (std::size_t vm = 0; vm < 4; ++vm)
        {
            ask(vm, 20);
            scene_->start(vm);
        }
        scene_->advance(std::chrono::seconds(20));
        ask(0, 40);
        CPPUNIT_ASSERT(admitted() <= 40 + 23);
        CPPUNIT_ASSERT(scene_->max_rate_excess("w") <=
                       static_cast<std::int64_t>(40 * token_unit));
    }

    void hints_of_many_are_told_in_rotation()
    {
        auto few = options(20, 40);
        few.limits.most_hints = 1;
        scene_ = std::make_unique<limits_simulation>(few);
        scene_->advance(std::chrono::seconds(10));
        std::set<std::string> told;
        for (int i = 0; i < 2; ++i)
        {
            proto::Heartbeat heartbeat;
            scene_->limits(0).hints(heartbeat);
            CPPUNIT_ASSERT_EQUAL(1, heartbeat.hint_size());
            told.insert(heartbeat.hint(0).resource());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, told.size());
    }

private:
    static standin::limits_simulation_options options(std::uint64_t rate,
                                                      std::uint64_t burst)
    {
        standin::limits_simulation_options made;
        made.vms = 4;
        auto& workspace = *made.settings.add_workspace();
        workspace.set_name("w");
        workspace.set_rate(rate);
        workspace.set_burst(burst);
        auto& database = *made.settings.add_database();
        database.set_name("d");
        database.set_connections(12);
        database.set_slots(6); // enough to put all twelve to use
        auto& server = *made.settings.add_server();
        server.set_name("s");
        server.set_database("d");
        return made;
    }

    void ask(std::size_t vm, int count)
    {
        for (; count > 0; --count)
        {
            scene_->request(vm, "w");
        }
        scene_->advance(milliseconds(150));
    }

    /// How many of the numbered workspaces are not in sight whole.
    std::uint64_t lacking(int count)
    {
        std::uint64_t found = 0;
        for (int i = 0; i < count; ++i)
        {
            const auto name = "workspace/w" + std::to_string(i);
            found += scene_->usable_and_free_parts(name) == share_parts ? 0 : 1;
        }
        return found;
    }

    std::uint64_t admitted() { return scene_->counts().at("w").admitted; }
    std::uint64_t parts(std::size_t vm)
    {
        return scene_->limits(vm).parts("workspace/w");
    }
    std::uint64_t in_sight()
    {
        return scene_->usable_and_free_parts("workspace/w");
    }

    std::unique_ptr<limits_simulation> scene_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(limiter_test);

} // namespace tanagerhoist

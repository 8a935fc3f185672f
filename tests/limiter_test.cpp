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
    CPPUNIT_TEST(exhausted_share_is_rejected_without_queueing);
    CPPUNIT_TEST(holder_frozen_and_reclaimed_spends_nothing);
    CPPUNIT_TEST(holder_frozen_but_listed_spends_again);
    CPPUNIT_TEST(holder_cut_from_peers_keeps_its_slice);
    CPPUNIT_TEST(slices_are_kept_while_platform_is_down);
    CPPUNIT_TEST(shares_of_two_dead_holders_are_reclaimed);
    CPPUNIT_TEST(lost_replies_preserve_the_total);
    CPPUNIT_TEST(rate_lowered_holds_from_then_on);
    CPPUNIT_TEST(leaving_vm_hands_over_all);
    CPPUNIT_TEST(connections_move_to_vm_with_demand);
    CPPUNIT_TEST(connections_beyond_use_of_slots_not_opened);
    CPPUNIT_TEST(wall_clock_jump_stops_spending);
    CPPUNIT_TEST(shares_of_hundreds_of_workspaces_are_reclaimed);
    CPPUNIT_TEST(unchanged_rows_are_read_rarely);
    CPPUNIT_TEST(fresh_fleet_serves_the_whole_burst);
    CPPUNIT_TEST(replaced_fleet_starts_without_tokens);
    CPPUNIT_TEST(hints_above_the_maximum_are_sent_in_rotation);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<limits_simulation>(options(20, 40));
        simulation_->advance(std::chrono::seconds(10));
    }

    void burst_at_one_vm_is_served_whole()
    {
        send_requests(0, 40);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, admitted());
    }

    void exhausted_share_is_rejected_without_queueing()
    {
        send_requests(0, 41);
        simulation_->advance(milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{41},
                             admitted() +
                                 simulation_->counts().at("w").refused);
    }

    void holder_frozen_and_reclaimed_spends_nothing()
    {
        simulation_->freeze(1);
        simulation_->drop(1);
        simulation_->advance(std::chrono::seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, total_parts());
        simulation_->thaw(1);
        simulation_->relist(1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, parts(1));
        send_requests(1, 5);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, admitted());
        simulation_->advance(std::chrono::seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, total_parts());
        send_requests(1, 5); // as a new incarnation
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, admitted());
    }

    void holder_frozen_but_listed_spends_again()
    {
        simulation_->freeze(1);
        simulation_->advance(std::chrono::seconds(30));
        CPPUNIT_ASSERT(total_parts() < share_parts);
        simulation_->thaw(1);
        simulation_->advance(std::chrono::seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, total_parts());
    }

    void holder_cut_from_peers_keeps_its_slice()
    {
        simulation_->cut_peers(1, true);
        simulation_->advance(std::chrono::seconds(30));
        CPPUNIT_ASSERT(parts(1) != 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, total_parts());
    }

    void slices_are_kept_while_platform_is_down()
    {
        simulation_->platform().set_down(true);
        simulation_->advance(std::chrono::seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, total_parts());
        send_requests(3, 40);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, admitted());
    }

    void shares_of_two_dead_holders_are_reclaimed()
    {
        send_requests(2, 30); // moves slices between the two
        for (const std::size_t vm : {1, 2})
        {
            simulation_->kill(vm);
            simulation_->drop(vm);
            simulation_->advance(std::chrono::seconds(3));
        }
        simulation_->advance(std::chrono::seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, total_parts());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, parts(0) + parts(3));
    }

    void lost_replies_preserve_the_total()
    {
        simulation_->kill(1);
        simulation_->drop(1);
        for (int second = 0; second < 20; ++second)
        {
            simulation_->platform().lose_replies(3);
            simulation_->advance(std::chrono::seconds(1));
            CPPUNIT_ASSERT(total_parts() <= share_parts);
        }
        simulation_->platform().lose_replies(0);
        simulation_->advance(std::chrono::seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, total_parts());
    }

    void rate_lowered_holds_from_then_on()
    {
        simulation_->use_settings(options(20, 4).settings);
        simulation_->advance(milliseconds(100));
        send_requests(0, 40);
        CPPUNIT_ASSERT(admitted() <= 4 + 20 * 150 / 1000);
    }

    void leaving_vm_hands_over_all()
    {
        simulation_->leave(1);
        simulation_->advance(std::chrono::seconds(1));
        CPPUNIT_ASSERT(simulation_->limits(1).handed_over());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, parts(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{share_parts}, total_parts());
        send_requests(0, 40);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, admitted());
    }

    void connections_beyond_use_of_slots_not_opened()
    {
        proto::DatabaseSettings database;
        database.set_connections(30);
        database.set_slots(5);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10},
                             effective_connection_limit(database));
        database.set_slots(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8},
                             effective_connection_limit(database));
        database.set_connections(3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             effective_connection_limit(database));
    }

    void connections_move_to_vm_with_demand()
    {
        simulation_->want_connections(2, "s", 9, 0);
        simulation_->advance(milliseconds(200));
        CPPUNIT_ASSERT(simulation_->limits(2).connections("s") >= 9);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12},
                             simulation_->usable_and_free_parts("server/s"));
    }

    void wall_clock_jump_stops_spending()
    {
        simulation_->limits(1).lose_confirmation();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, parts(1));
        simulation_->advance(std::chrono::seconds(8));
        CPPUNIT_ASSERT(parts(1) != 0);
    }

    void shares_of_hundreds_of_workspaces_are_reclaimed()
    {
        auto many = options(20, 40);
        for (int i = 0; i < 200; ++i)
        {
            auto& workspace = *many.settings.add_workspace();
            workspace.set_name("w" + std::to_string(i));
            workspace.set_rate(20);
            workspace.set_burst(40);
        }
        simulation_ = std::make_unique<limits_simulation>(many);
        simulation_->advance(std::chrono::seconds(10));
        send_requests(0, 40);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, admitted());
        simulation_->kill(1);
        simulation_->drop(1);
        simulation_->advance(std::chrono::seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, count_incomplete(200));
    }

    void unchanged_rows_are_read_rarely()
    {
        simulation_->advance(std::chrono::seconds(120));
        simulation_->reset_counts();
        simulation_->advance(std::chrono::seconds(60));
        const std::uint64_t lists = 240; // four VMs, one per second for 60 s
        const std::uint64_t rows = 24;   // four VMs, two rows, three reads
        CPPUNIT_ASSERT(simulation_->platform_calls() < lists + rows);
    }

    void fresh_fleet_serves_the_whole_burst()
    {
        simulation_ = std::make_unique<limits_simulation>(options(1, 40));
        simulation_->advance(std::chrono::seconds(2));
        send_requests(0, 41);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, admitted());
    }

    void replaced_fleet_starts_without_tokens()
    {
        simulation_ = std::make_unique<limits_simulation>(options(1, 40));
        simulation_->advance(std::chrono::seconds(2));
        for (std::size_t vm = 0; vm < 4; ++vm)
        {
            send_requests(vm, 20);
            simulation_->start(vm);
        }
        simulation_->advance(std::chrono::seconds(20));
        send_requests(0, 40);
        CPPUNIT_ASSERT(admitted() <= 40 + 23);
        CPPUNIT_ASSERT(simulation_->max_rate_excess("w") <=
                       static_cast<std::int64_t>(40 * token_unit));
    }

    void hints_above_the_maximum_are_sent_in_rotation()
    {
        auto few = options(20, 40);
        few.limits.max_hints = 1;
        simulation_ = std::make_unique<limits_simulation>(few);
        simulation_->advance(std::chrono::seconds(10));
        std::set<std::string> told;
        for (int i = 0; i < 2; ++i)
        {
            proto::Heartbeat heartbeat;
            simulation_->limits(0).hints(heartbeat);
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
        database.set_slots(6); // allows all twelve connections
        auto& server = *made.settings.add_server();
        server.set_name("s");
        server.set_database("d");
        return made;
    }

    void send_requests(std::size_t vm, int count)
    {
        for (; count > 0; --count)
        {
            simulation_->request(vm, "w");
        }
        simulation_->advance(milliseconds(150));
    }

    /// Number of the numbered workspaces whose parts don't add up to the total.
    std::uint64_t count_incomplete(int count)
    {
        std::uint64_t found = 0;
        for (int i = 0; i < count; ++i)
        {
            const auto name = "workspace/w" + std::to_string(i);
            found +=
                simulation_->usable_and_free_parts(name) == share_parts ? 0 : 1;
        }
        return found;
    }

    std::uint64_t admitted() { return simulation_->counts().at("w").admitted; }
    std::uint64_t parts(std::size_t vm)
    {
        return simulation_->limits(vm).parts("workspace/w");
    }
    std::uint64_t total_parts()
    {
        return simulation_->usable_and_free_parts("workspace/w");
    }

    std::unique_ptr<limits_simulation> simulation_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(limiter_test);

} // namespace tanagerhoist

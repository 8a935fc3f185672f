#include "standin/failover_simulation.hpp"
#include "tanagerhoist/decision/term.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{

class primary_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(primary_watch_test);
    CPPUNIT_TEST(healthy_group_nothing_promoted);
    CPPUNIT_TEST(primary_dead_replaced_everywhere);
    CPPUNIT_TEST(primary_isolated_believing_it_leads_acknowledges_nothing);
    CPPUNIT_TEST(primary_cut_from_replicas_only_replaced);
    CPPUNIT_TEST(primary_cut_from_one_watcher_kept);
    CPPUNIT_TEST(primary_cut_from_all_vms_replaced);
    CPPUNIT_TEST(platform_down_replaced_and_row_written_later);
    CPPUNIT_TEST(two_losses_in_one_outage_replaced_twice);
    CPPUNIT_TEST(promotion_during_promotion_one_leader);
    CPPUNIT_TEST(all_watchers_act_at_once_one_leader);
    CPPUNIT_TEST(first_watcher_dead_next_one_acts);
    CPPUNIT_TEST(watcher_frozen_past_timeouts_does_not_act_on_stale_evidence);
    CPPUNIT_TEST(watcher_frozen_in_promotion_others_finish);
    CPPUNIT_TEST(group_without_primary_gets_one);
    CPPUNIT_TEST(stranded_seal_repaired);
    CPPUNIT_TEST(replica_dead_primary_kept_and_majority_suffices_later);
    CPPUNIT_TEST(number_not_allotted_nothing_promoted);
    CPPUNIT_TEST(late_answers_of_an_earlier_doubt_ignored);
    CPPUNIT_TEST(watch_counts_three_vms);
    CPPUNIT_TEST_SUITE_END();

    using simulation = standin::failover_simulation;

    const std::string database_ = "ledger";
    const std::vector<std::string> servers_{"a", "b", "c"};
    const std::vector<std::string> vms_{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"};
    std::unique_ptr<simulation> simulation_;
    std::uint64_t ids_ = 0;

    void build(primary_watch_options options = {})
    {
        simulation_ = std::make_unique<simulation>(
            vms_,
            std::map<std::string, std::vector<std::string>>{
                {database_, servers_}},
            [](const std::string&, const std::string&)
            { return microseconds(1000); },
            options);
        simulation_->run_for(milliseconds(1000));
    }

    void run(int ms) { simulation_->run_for(milliseconds(ms)); }

    const proto::PrimaryBelief& belief(const std::string& vm)
    {
        const auto* found = simulation_->vm(vm).watch->primary(database_);
        CPPUNIT_ASSERT(found != nullptr);
        return *found;
    }

    std::vector<std::string> watchers()
    {
        return simulation_->vm("vm-1").watch->watchers(database_);
    }

    void expect_primary_not(const std::string& lost)
    {
        for (const auto& vm : vms_)
        {
            CPPUNIT_ASSERT(!simulation_->vm(vm).alive ||
                           belief(vm).server() != lost);
        }
    }

    void expect_kept(std::uint64_t term = 1)
    {
        for (const auto& vm : vms_)
        {
            CPPUNIT_ASSERT_EQUAL(term, belief(vm).term());
        }
        for (const auto& server : servers_)
        {
            CPPUNIT_ASSERT_EQUAL(
                term,
                simulation_->group(database_).server(server).sealed_term());
        }
    }

    standin::write_result write(const std::string& vm)
    {
        auto result = standin::write_result::unknown;
        simulation_->write(vm, database_, "w" + std::to_string(ids_++),
                           "APPEND k v", milliseconds(400),
                           [&result](moment, standin::write_result value,
                                     const proto::LogPoint&)
                           { result = value; });
        run(1000);
        return result;
    }

    void expect_served(const std::string& vm)
    {
        CPPUNIT_ASSERT(write(vm) == standin::write_result::confirmed);
    }

    std::size_t leaders()
    {
        std::size_t count = 0;
        for (const auto& server : servers_)
        {
            count += simulation_->group(database_).server(server).primary();
        }
        return count;
    }

public:
    void healthy_group_nothing_promoted()
    {
        build();
        run(20000);
        expect_kept();
        expect_served("vm-5");
    }

    void primary_dead_replaced_everywhere()
    {
        build();
        simulation_->kill_server("a");
        run(1000);
        expect_primary_not("a");
        expect_served("vm-1");
        simulation_->restart_server("a");
        run(3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
        CPPUNIT_ASSERT(!simulation_->group(database_).server("a").primary());
    }

    void primary_isolated_believing_it_leads_acknowledges_nothing()
    {
        build();
        // vm-5 can reach the isolated primary, but no other VM or server.
        simulation_->group(database_).isolate("a");
        for (const auto& other : {"vm-1", "vm-2", "vm-3", "vm-4", "b", "c"})
        {
            simulation_->cut("vm-5", other);
        }
        for (const auto& other : {"vm-1", "vm-2", "vm-3", "vm-4"})
        {
            simulation_->cut("a", other);
        }
        run(1500);
        CPPUNIT_ASSERT(simulation_->group(database_).server("a").primary());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), belief("vm-5").server());
        CPPUNIT_ASSERT(write("vm-5") == standin::write_result::unknown);
        expect_served("vm-1");
        simulation_->heal();
        run(2000);
        // It missed the announcement of the promotion; the first refused write
        // makes it query a watcher.
        CPPUNIT_ASSERT(write("vm-5") == standin::write_result::not_run);
        expect_served("vm-5");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
    }

    void primary_cut_from_replicas_only_replaced()
    {
        build();
        simulation_->group(database_).isolate("a");
        run(1000);
        expect_primary_not("a");
        expect_served("vm-1");
    }

    void primary_cut_from_one_watcher_kept()
    {
        build();
        simulation_->cut("a", watchers()[0]);
        run(10000);
        expect_kept();
    }

    void primary_cut_from_all_vms_replaced()
    {
        build();
        for (const auto& vm : vms_)
        {
            simulation_->cut("a", vm);
        }
        run(1500);
        expect_primary_not("a");
        expect_served("vm-1");
    }

    void platform_down_replaced_and_row_written_later()
    {
        build();
        simulation_->service().set_down(true);
        simulation_->kill_server("a");
        run(1500);
        expect_served("vm-1");
        CPPUNIT_ASSERT_EQUAL(0, simulation_->service().dump().row_size());
        simulation_->service().set_down(false);
        run(4000);
        const auto dump = simulation_->service().dump();
        CPPUNIT_ASSERT_EQUAL(1, dump.row_size());
        proto::PrimaryRow row;
        CPPUNIT_ASSERT(row.ParseFromString(dump.row().begin()->second.value()));
        CPPUNIT_ASSERT_EQUAL(belief("vm-1").term(), row.belief().term());
    }

    void two_losses_in_one_outage_replaced_twice()
    {
        build();
        simulation_->service().set_down(true);
        simulation_->kill_server("a");
        run(1500);
        const auto second = belief("vm-1");
        simulation_->restart_server("a");
        run(1000);
        simulation_->kill_server(second.server());
        run(1500);
        expect_primary_not(second.server());
        CPPUNIT_ASSERT(belief("vm-1").term() > second.term());
        expect_served("vm-1");
    }

    void promotion_during_promotion_one_leader()
    {
        build();
        simulation_->kill_server("a");
        while (!simulation_->group(database_).server("b").primary() &&
               !simulation_->group(database_).server("c").primary() &&
               simulation_->now() < moment(milliseconds(6000)))
        {
            run(1);
        }
        const bool b = simulation_->group(database_).server("b").primary();
        simulation_->restart_server("a");
        simulation_->kill_server(b ? "b" : "c");
        run(2500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
        expect_served("vm-1");
    }

    void all_watchers_act_at_once_one_leader()
    {
        primary_watch_options options;
        options.group.rank_delay = milliseconds(0);
        build(options);
        simulation_->kill_server("a");
        run(3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
        expect_served("vm-1");
    }

    void first_watcher_dead_next_one_acts()
    {
        build();
        const auto first = watchers()[0];
        simulation_->kill_vm(first);
        simulation_->kill_server("a");
        run(1600);
        expect_primary_not("a");
        CPPUNIT_ASSERT(term_number(belief(watchers()[1]).term()) ==
                       simulation_->vm(watchers()[1]).self.number);
    }

    void watcher_frozen_past_timeouts_does_not_act_on_stale_evidence()
    {
        build();
        // Watcher 0 loses the primary just before it is paused; what all
        // three observed is out of date when they resume.
        const auto watching = watchers();
        simulation_->set_vm_frozen(watching[1], true);
        simulation_->set_vm_frozen(watching[2], true);
        simulation_->group(database_).set_frozen("a", true);
        run(640);
        simulation_->set_vm_frozen(watching[0], true);
        simulation_->group(database_).set_frozen("a", false);
        run(5000);
        for (const auto& vm : watching)
        {
            simulation_->set_vm_frozen(vm, false);
        }
        run(3000);
        expect_kept();
    }

    void watcher_frozen_in_promotion_others_finish()
    {
        build();
        const auto first = watchers()[0];
        simulation_->kill_server("a");
        while (simulation_->group(database_).server("b").sealed_term() == 1 &&
               simulation_->now() < moment(milliseconds(6000)))
        {
            run(1);
        }
        CPPUNIT_ASSERT(simulation_->group(database_).server("b").sealed_term() >
                       1);
        simulation_->set_vm_frozen(first, true);
        run(2500);
        expect_served(watchers()[1]);
        const auto term = belief(watchers()[1]).term();
        simulation_->set_vm_frozen(first, false);
        run(3000);
        CPPUNIT_ASSERT_EQUAL(term, belief(first).term());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
    }

    void group_without_primary_gets_one()
    {
        build();
        for (const auto& server : servers_)
        {
            simulation_->restart_server(server);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, leaders());
        for (const auto& vm : vms_)
        {
            simulation_->restart_vm(vm);
        }
        run(2000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
        expect_served("vm-1");
    }

    void stranded_seal_repaired()
    {
        build();
        proto::DatabaseCall seal;
        seal.mutable_seal()->set_term(make_term(9, 99));
        simulation_->group(database_).handle(simulation_->now(), "c", 0, seal);
        simulation_->cut("a", "c");
        run(4000);
        CPPUNIT_ASSERT(belief("vm-1").term() > make_term(9, 99));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
        expect_served("vm-1");
    }

    void replica_dead_primary_kept_and_majority_suffices_later()
    {
        build();
        simulation_->kill_server("c");
        run(5000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, belief("vm-1").term());
        simulation_->restart_server("c");
        simulation_->kill_server("b");
        run(1000);
        for (const auto& vm : vms_)
        {
            simulation_->cut("a", vm);
        }
        run(100);
        simulation_->restart_server("b");
        run(2000);
        expect_served("vm-1");
    }

    void number_not_allotted_nothing_promoted()
    {
        build();
        for (const auto& vm : vms_)
        {
            simulation_->vm(vm).self.number = 0;
        }
        simulation_->kill_server("a");
        run(4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, leaders());
        simulation_->vm(watchers()[2]).self.number = 77;
        run(1000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{77},
                             term_number(belief("vm-1").term()));
    }

    void late_answers_of_an_earlier_doubt_ignored()
    {
        build();
        const auto watching = watchers();
        simulation_->cut("a", watching[0]);
        auto& first = simulation_->vm(watching[0]);
        proto::SuspectAnswer answer;
        answer.set_database(database_);
        answer.set_server("a");
        answer.set_term(1);
        answer.set_known(true);
        answer.set_asked_us(to_us(simulation_->now()));
        for (int i = 0; i < 40; ++i)
        {
            run(50);
            if (i < 11)
            {
                continue; // the answer must exceed its maximum age first
            }
            for (unsigned rank : {1U, 2U})
            {
                proto::Incarnation from;
                from.set_vm(watching[rank]);
                first.watch->on_suspect_answer(simulation_->now(), from, answer,
                                               first.out);
            }
        }
        run(500);
        expect_kept();
    }

    void watch_counts_three_vms()
    {
        build();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, watchers().size());
        for (const auto& vm : vms_)
        {
            CPPUNIT_ASSERT(simulation_->vm(vm).watch->watchers(database_) ==
                           watchers());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(primary_watch_test);

} // namespace tanagerhoist

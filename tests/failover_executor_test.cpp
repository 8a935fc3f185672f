#include "proxy_fixture.hpp"
#include "tanagerhoist/fleet/failover_executor.hpp"
#include "tanagerhoist/session/position_history.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace tanagerhoist
{
namespace
{

/// Fake group of servers with scripted answers; pauses advance its clock.
class fake_group : public failover_port
{
public:
    struct member
    {
        bool answers = true;
        server_role role;
        bool draining = false;
        std::optional<moment> closes_at{};
    };

    fake_group()
    {
        members["p"].role = {true, 1, {1, 100}};
        members["q"].role = {false, 1, {1, 90}};
        members["r"].role = {false, 1, {1, 95}};
        row.lead.set_group("g");
        row.lead.set_epoch(1);
        row.lead.set_primary("p");
        row.lead.set_term(1);
        row.version = 10;
    }

    moment now() override { return time; }
    void pause(milliseconds duration) override
    {
        time += duration;
        if (on_pause)
        {
            on_pause();
        }
    }
    bool may_order() override { return time >= orders_from; }
    store_era era() override { return present_era; }
    bool is_coordinator() override { return coordinator && time < lease_end; }

    store_answer write_lead(const proto::GroupLead& lead,
                            std::uint64_t version) override
    {
        store_answer answer;
        if (version != row.version)
        {
            answer.result = store_result::conflict;
            return answer;
        }
        row.lead = lead;
        row.version = std::max(row.version, numbered_in(present_era, 0)) + 1;
        answer.result = store_result::done;
        answer.version = row.version;
        return answer;
    }
    bool is_primary_unused(const proto::GroupLead&, std::uint64_t,
                           moment) override
    {
        return all_acknowledged;
    }
    std::vector<backend_server> servers(const std::string&) override
    {
        std::vector<backend_server> found;
        for (const auto& [id, entry] : members)
        {
            auto server = proxy_fixture::server(id, "a");
            server.draining = entry.draining;
            server.closes_at = entry.closes_at;
            server.claims_primary = entry.role.primary;
            found.push_back(server);
        }
        return found;
    }
    unsigned synchronous_replicas(const std::string&) override
    {
        return synchronous;
    }
    std::optional<server_role> role(const backend_server& server) override
    {
        time += control_time;
        const auto& entry = members.at(server.id);
        return entry.answers ? std::optional(entry.role) : std::nullopt;
    }
    std::optional<server_role> demote(const backend_server& server,
                                      std::uint64_t term) override
    {
        time += control_time;
        auto& entry = members.at(server.id);
        if (!entry.answers)
        {
            return std::nullopt;
        }
        if (entry.role.term < term)
        {
            entry.role.primary = false;
        }
        return entry.role;
    }
    void confirm_log_end(const proto::GroupLead& lead, const log_position& end,
                         moment confirmed) override
    {
        CPPUNIT_ASSERT(lead.sealed());
        CPPUNIT_ASSERT(!members.at(lead.primary()).role.primary);
        confirmed_ends.push_back({confirmed, end});
    }
    promotion_result request_promotion(const std::string&,
                                       const std::string& server) override
    {
        CPPUNIT_ASSERT(row.lead.sealed());
        CPPUNIT_ASSERT(all_acknowledged);
        CPPUNIT_ASSERT(is_coordinator());
        CPPUNIT_ASSERT(may_order());
        promotions.push_back(server);
        if (!members.at(server).answers || refusals-- > 0)
        {
            return promotion_result::not_eligible;
        }
        if (!promotion_starts)
        {
            return promotion_result::unanswered;
        }
        auto& role = members.at(server).role;
        role.term = role.primary ? role.term : newest_term() + 1;
        role.primary = true; // no change for the current primary
        return promotion_result::accepted;
    }

    std::uint64_t newest_term() const
    {
        std::uint64_t newest = row.lead.term();
        for (const auto& [id, entry] : members)
        {
            newest = std::max(newest, entry.role.term);
        }
        return newest;
    }

    std::optional<group_lead_row> change_primary(bool planned)
    {
        failover_executor executor(*this, lines);
        return executor.change_primary(row, planned);
    }

    std::map<std::string, member> members;
    group_lead_row row;
    moment time{std::chrono::hours(1)};
    moment lease_end = time + std::chrono::seconds(30);
    moment orders_from{};
    milliseconds control_time{0}; ///< that each call of a server takes
    std::function<void()> on_pause;
    bool coordinator = true;
    bool all_acknowledged = true;
    bool promotion_starts = true;
    int refusals = 0; ///< of the next promotion requests
    unsigned synchronous = 0;
    store_era present_era = 0;
    std::vector<std::string> promotions;
    std::vector<position_sample> confirmed_ends;
    null_log lines;
};

} // namespace

class failover_executor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failover_executor_test);
    CPPUNIT_TEST(failed_primary_is_replaced_by_most_up_to_date_server);
    CPPUNIT_TEST(no_promotion_before_primary_is_unused);
    CPPUNIT_TEST(old_primary_is_demoted_early_while_a_vm_is_silent);
    CPPUNIT_TEST(old_primary_that_returns_as_primary_is_demoted_again);
    CPPUNIT_TEST(losing_lease_aborts_failover);
    CPPUNIT_TEST(promotion_is_not_ordered_when_lease_ends_during_demotion);
    CPPUNIT_TEST(promotion_is_not_ordered_when_lease_ends_during_choice);
    CPPUNIT_TEST(row_conflict_aborts_failover);
    CPPUNIT_TEST(planned_failover_waits_for_log_end);
    CPPUNIT_TEST(server_is_chosen_after_the_wait_for_an_order);
    CPPUNIT_TEST(wait_for_an_order_ends_with_the_term);
    CPPUNIT_TEST(ineligible_server_is_skipped);
    CPPUNIT_TEST(unanswered_promotion_is_resolved_by_server_role);
    CPPUNIT_TEST(server_with_unanswered_promotion_is_ordered_again);
    CPPUNIT_TEST(primary_that_answers_as_replica_is_demoted);
    CPPUNIT_TEST(server_that_the_old_primary_replaced_again_is_published);
    CPPUNIT_TEST(promotion_by_previous_coordinator_is_adopted);
    CPPUNIT_TEST(successor_with_same_term_becomes_primary);
    CPPUNIT_TEST(synchronous_group_waits_for_all_replicas);
    CPPUNIT_TEST(draining_replica_is_promoted_only_without_others);
    CPPUNIT_TEST(commits_that_only_a_draining_replica_has_are_kept);
    CPPUNIT_TEST(commits_that_only_a_refused_replica_has_are_kept);
    CPPUNIT_TEST(server_in_an_evacuated_data_centre_is_not_promoted);
    CPPUNIT_TEST(synchronous_commits_at_a_closed_replica_are_waited_for);
    CPPUNIT_TEST(synchronous_group_leaves_closed_replicas_after_a_demotion);
    CPPUNIT_TEST(evacuated_old_primary_is_not_promoted_again);
    CPPUNIT_TEST(old_primary_that_was_not_demoted_is_not_published_again);
    CPPUNIT_TEST(promoted_server_that_was_replaced_is_not_published);
    CPPUNIT_TEST(lead_is_created_from_current_primary);
    CPPUNIT_TEST(lead_lost_with_the_store_is_written_again);
    CPPUNIT_TEST(promotion_lost_with_the_store_is_found_at_the_servers);
    CPPUNIT_TEST(epoch_lost_with_the_store_is_not_given_out_again);
    CPPUNIT_TEST(failover_ends_when_the_store_comes_back_older);
    CPPUNIT_TEST(server_that_an_earlier_failover_cut_off_is_promoted);
    CPPUNIT_TEST(server_cut_off_two_failovers_ago_is_promoted);
    CPPUNIT_TEST(cut_off_commit_stands_for_an_acknowledged_one);
    CPPUNIT_TEST(group_with_only_a_diverged_server_stays_without_primary);
    CPPUNIT_TEST(old_primary_is_left_for_a_diverged_server);
    CPPUNIT_TEST(server_rolled_back_to_the_common_log_is_passed_over);
    CPPUNIT_TEST(lead_is_created_from_primary_of_latest_term);
    CPPUNIT_TEST_SUITE_END();

    /// Primary p crashed with the log end 1.100, r was promoted with 1.95, and
    /// has written up to 2.99 without its replicas. p is back with its log.
    static fake_group after_a_failover()
    {
        fake_group f;
        f.members["p"].answers = false;
        CPPUNIT_ASSERT(f.change_primary(false));
        CPPUNIT_ASSERT_EQUAL(std::string("r"), f.row.lead.primary());
        f.members["p"].answers = true;
        f.members["p"].role = {false, 1, {1, 100}};
        f.members["r"].role.received = {2, 99};
        f.promotions.clear();
        return f;
    }

public:
    void server_that_an_earlier_failover_cut_off_is_promoted()
    {
        auto f = after_a_failover();
        f.members["r"].answers = false;
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), done->lead.primary());
    }

    void server_cut_off_two_failovers_ago_is_promoted()
    {
        auto f = after_a_failover();
        f.members["p"].answers = false;
        f.members["q"].role = {false, 2, {2, 97}};
        f.members["r"].answers = false;
        CPPUNIT_ASSERT(f.change_primary(false)); // to q, at 2.97
        f.members["s"].role = {false, 2, {2, 96}};
        f.members["q"].answers = false;
        f.members["p"].answers = true; // its 1.100 is before 2.97
        f.members["r"].answers = true; // its 2.99 is not
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("s"), done->lead.primary());
    }

    void cut_off_commit_stands_for_an_acknowledged_one()
    {
        auto f = after_a_failover();
        f.synchronous = 1;
        f.members["r"].answers = false;
        f.members["q"].role = {false, 2, {2, 99}};
        f.refusals = 1; // of q, once
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), done->lead.primary());
        for (const auto& id : f.promotions)
        {
            CPPUNIT_ASSERT_EQUAL(std::string("q"), id);
        }
    }

    void group_with_only_a_diverged_server_stays_without_primary()
    {
        auto f = after_a_failover();
        f.members["r"].answers = false;
        f.members["q"].answers = false;
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("p"), done->lead.primary());
    }

    void old_primary_is_left_for_a_diverged_server()
    {
        auto f = after_a_failover();
        f.members["q"].answers = false;
        const auto done = f.change_primary(true);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("r"), done->lead.primary());
    }

    void server_rolled_back_to_the_common_log_is_passed_over()
    {
        auto f = after_a_failover();
        f.members["r"].answers = false;
        f.members["p"].role = {false, 2, {2, 98}};
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("p"), done->lead.primary());
    }

    void failed_primary_is_replaced_by_most_up_to_date_server()
    {
        fake_group f;
        f.members["p"].answers = false;
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("r"), done->lead.primary());
        CPPUNIT_ASSERT(!done->lead.sealed());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, done->lead.epoch());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, done->lead.term());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{95}, done->lead.base_number());
    }

    void no_promotion_before_primary_is_unused()
    {
        fake_group f;
        f.members["p"].answers = false;
        f.all_acknowledged = false;
        int pauses = 0;
        f.on_pause = [&]
        {
            CPPUNIT_ASSERT(f.all_acknowledged || f.promotions.empty());
            f.all_acknowledged = ++pauses > 100;
        };
        CPPUNIT_ASSERT(f.change_primary(false));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.promotions.size());
    }

    /// Load pattern: a VM died, its lease runs for 13 s. The group's reads must
    /// go on meanwhile, so its log end is confirmed again and again.
    void old_primary_is_demoted_early_while_a_vm_is_silent()
    {
        fake_group f;
        f.all_acknowledged = false;
        const auto begun = f.time;
        f.on_pause = [&]
        {
            f.all_acknowledged = f.time >= begun + milliseconds(5000);
            if (!f.all_acknowledged && f.time >= begun + milliseconds(1000))
            {
                CPPUNIT_ASSERT(!f.confirmed_ends.empty());
                CPPUNIT_ASSERT(f.time < f.confirmed_ends.back().covers +
                                            milliseconds(400));
            }
        };
        CPPUNIT_ASSERT(f.change_primary(true));
        CPPUNIT_ASSERT(f.confirmed_ends.front().covers >=
                       begun + milliseconds(400)); // transactions could end
        const log_position end{1, 100};
        CPPUNIT_ASSERT(f.confirmed_ends.back().position == end);
    }

    void old_primary_that_returns_as_primary_is_demoted_again()
    {
        fake_group f;
        f.all_acknowledged = false;
        const auto begun = f.time;
        bool restarted = false;
        f.on_pause = [&]
        {
            f.all_acknowledged = f.time >= begun + milliseconds(5000);
            if (!restarted && f.time >= begun + milliseconds(2000))
            {
                restarted = true;
                f.members["p"].role = {true, 1, {1, 101}}; // one more commit
            }
        };
        CPPUNIT_ASSERT(f.change_primary(true));
        const log_position end{1, 101};
        CPPUNIT_ASSERT(f.confirmed_ends.back().position == end);
    }

    void losing_lease_aborts_failover()
    {
        fake_group f;
        f.all_acknowledged = false;
        f.on_pause = [&] { f.coordinator = false; };
        CPPUNIT_ASSERT(!f.change_primary(false));
        CPPUNIT_ASSERT(f.promotions.empty());
        CPPUNIT_ASSERT(f.row.lead.sealed()); // the next coordinator resumes
    }

    void promotion_is_not_ordered_when_lease_ends_during_demotion()
    {
        fake_group f;
        f.members["p"].answers = false;
        f.control_time = milliseconds(350);
        f.lease_end = f.time + milliseconds(300);
        CPPUNIT_ASSERT(!f.change_primary(false));
        CPPUNIT_ASSERT(f.promotions.empty());
    }

    /// The replicas lag behind the demoted primary, so that the choice waits.
    void promotion_is_not_ordered_when_lease_ends_during_choice()
    {
        fake_group f;
        f.control_time = milliseconds(350);
        f.lease_end = f.time + milliseconds(1900);
        CPPUNIT_ASSERT(!f.change_primary(true));
        CPPUNIT_ASSERT(f.promotions.empty());
    }

    void row_conflict_aborts_failover()
    {
        fake_group f;
        failover_executor executor(f, f.lines);
        auto known = f.row;
        f.row.version = 11;
        CPPUNIT_ASSERT(!executor.change_primary(known, false));
        CPPUNIT_ASSERT(f.promotions.empty());
    }

    void planned_failover_waits_for_log_end()
    {
        fake_group f;
        f.members["p"].draining = true;
        int pauses = 0;
        f.on_pause = [&]
        {
            if (++pauses == 3)
            {
                f.members["q"].role.received = {1, 100};
            }
        };
        const auto done = f.change_primary(true);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), done->lead.primary());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, done->lead.base_number());
    }

    /// A replica that was ahead when the wait began may be behind at its end.
    void server_is_chosen_after_the_wait_for_an_order()
    {
        fake_group f;
        f.members["p"].answers = false;
        f.orders_from = f.time + std::chrono::seconds(2);
        f.on_pause = [&]
        {
            if (f.time + milliseconds(100) >= f.orders_from)
            {
                f.members["q"].role.received = {1, 99};
            }
        };
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), done->lead.primary());
    }

    void wait_for_an_order_ends_with_the_term()
    {
        fake_group f;
        f.members["p"].answers = false;
        f.lease_end = f.time + std::chrono::seconds(1);
        f.orders_from = f.time + std::chrono::seconds(2);
        CPPUNIT_ASSERT(!f.change_primary(false));
        CPPUNIT_ASSERT(f.promotions.empty());
        CPPUNIT_ASSERT(f.time < f.orders_from);
    }

    void ineligible_server_is_skipped()
    {
        fake_group f;
        f.members["p"].answers = false;
        f.on_pause = [] {};
        f.members["r"].role.received = {1, 99};
        // r answers status queries, but the platform reports it as not running.
        struct refusing : fake_group
        {
            promotion_result
            request_promotion(const std::string& group,
                              const std::string& server) override
            {
                if (server == "r")
                {
                    promotions.push_back(server);
                    return promotion_result::not_eligible;
                }
                return fake_group::request_promotion(group, server);
            }
        } g;
        g.members["p"].answers = false;
        const auto done = g.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), done->lead.primary());
        CPPUNIT_ASSERT_EQUAL(std::string("r"), g.promotions.front());
    }

    void unanswered_promotion_is_resolved_by_server_role()
    {
        fake_group f;
        f.members["p"].answers = false;
        f.promotion_starts = false;
        int pauses = 0;
        f.on_pause = [&]
        {
            if (!f.promotions.empty() && ++pauses == 5)
            {
                f.members["r"].role.primary = true;
                f.members["r"].role.term = 2;
            }
        };
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("r"), done->lead.primary());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.promotions.size());
    }

    /// The order may still take effect, after one for another server.
    void server_with_unanswered_promotion_is_ordered_again()
    {
        fake_group f;
        f.members["p"].answers = false;
        f.promotion_starts = false;
        f.on_pause = [&]
        {
            if (!f.promotions.empty())
            {
                f.members["q"].role.received = {1, 99}; // now ahead of r
                f.promotion_starts = true;
            }
        };
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.promotions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("r"), f.promotions.back());
        CPPUNIT_ASSERT_EQUAL(std::string("r"), done->lead.primary());
    }

    void primary_that_answers_as_replica_is_demoted()
    {
        fake_group f;
        failover_executor executor(f, f.lines);
        CPPUNIT_ASSERT(!executor.is_primary_demoted(f.row.lead));
        f.members["p"].role.primary = false;
        CPPUNIT_ASSERT(executor.is_primary_demoted(f.row.lead));
        f.members["p"].answers = false;
        CPPUNIT_ASSERT(!executor.is_primary_demoted(f.row.lead));
    }

    /// Another server led in between, in a term that was not published.
    void server_that_the_old_primary_replaced_again_is_published()
    {
        fake_group f;
        f.row.lead.set_sealed(true);
        f.members["q"].role = {true, 2, {2, 100}};
        f.members["p"].role = {true, 3, {3, 101}};
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("p"), done->lead.primary());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, done->lead.term());
    }

    void promotion_by_previous_coordinator_is_adopted()
    {
        fake_group f;
        f.row.lead.set_sealed(true);
        f.members["p"].answers = false;
        f.members["q"].role.primary = true;
        f.members["q"].role.term = 2;
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), done->lead.primary());
    }

    void successor_with_same_term_becomes_primary()
    {
        // Guards against a group left without a primary: a new server that
        // took over the old primary's log leads in the same term.
        fake_group f;
        f.members.erase("p");
        f.members["s"].role = {true, 1, {1, 100}};
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("s"), done->lead.primary());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, done->lead.term());
    }

    void synchronous_group_waits_for_all_replicas()
    {
        fake_group f;
        f.synchronous = 1;
        f.members["p"].answers = false;
        f.members["q"].answers = false;
        f.members["q"].role.received = {1, 99};
        int pauses = 0;
        f.on_pause = [&]
        {
            CPPUNIT_ASSERT(f.members["q"].answers || f.promotions.empty());
            f.members["q"].answers = ++pauses > 120;
        };
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), done->lead.primary());
    }

    void draining_replica_is_promoted_only_without_others()
    {
        fake_group f;
        f.members["p"].answers = false;
        f.members["r"].draining = true;
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), done->lead.primary());
    }

    void commits_that_only_a_draining_replica_has_are_kept()
    {
        fake_group f;
        f.synchronous = 1;
        f.members["p"].answers = false;
        f.members["r"].draining = true;
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("r"), done->lead.primary());
    }

    void commits_that_only_a_refused_replica_has_are_kept()
    {
        fake_group f;
        f.synchronous = 1;
        f.members["p"].answers = false;
        f.refusals = 1; // another request is in progress
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("r"), done->lead.primary());
    }

    /// The most up-to-date replica is in the primary's evacuated data centre.
    void server_in_an_evacuated_data_centre_is_not_promoted()
    {
        fake_group f;
        f.members["p"].closes_at = f.time;
        f.members["r"].closes_at = f.time;
        const auto done = f.change_primary(true);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), done->lead.primary());
    }

    /// The primary failed, and the replica that confirmed the last commit is
    /// closed: the commit would be lost with a promotion of the other one.
    void synchronous_commits_at_a_closed_replica_are_waited_for()
    {
        fake_group f;
        f.synchronous = 1;
        f.members["p"].answers = false;
        f.members["r"].closes_at = f.time;
        f.members["r"].answers = false;
        CPPUNIT_ASSERT(!f.change_primary(false));
        CPPUNIT_ASSERT(f.promotions.empty());
    }

    void synchronous_group_leaves_closed_replicas_after_a_demotion()
    {
        fake_group f;
        f.synchronous = 1;
        f.members["p"].closes_at = f.time;
        f.members["q"].role.received = {1, 100};
        f.members["r"].closes_at = f.time;
        f.members["r"].answers = false;
        const auto done = f.change_primary(true);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), done->lead.primary());
    }

    void evacuated_old_primary_is_not_promoted_again()
    {
        fake_group f;
        for (auto& [id, member] : f.members)
        {
            member.closes_at = f.time;
        }
        CPPUNIT_ASSERT(!f.change_primary(true));
        CPPUNIT_ASSERT(f.promotions.empty());
    }

    void old_primary_that_was_not_demoted_is_not_published_again()
    {
        fake_group f;
        f.members["p"].answers = false;
        f.members["q"].answers = false; // it may have been promoted
        f.members["r"].answers = false;
        f.on_pause = [&] { f.members["p"].answers = true; };
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("p"), done->lead.primary());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, done->lead.term());
    }

    void promoted_server_that_was_replaced_is_not_published()
    {
        fake_group f;
        f.members["p"].answers = false;
        f.members["q"].role = {true, 2, {2, 90}};
        f.members["r"].role = {false, 3, {3, 95}}; // p leads term 3
        const auto done = f.change_primary(false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("r"), done->lead.primary());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, done->lead.term());
    }

    void lead_is_created_from_current_primary()
    {
        fake_group f;
        f.row.version = 0;
        failover_executor executor(f, f.lines);
        const auto created = executor.create_lead("g");
        CPPUNIT_ASSERT(created);
        CPPUNIT_ASSERT_EQUAL(std::string("p"), created->lead.primary());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, created->lead.term());
    }

    void lead_lost_with_the_store_is_written_again()
    {
        fake_group f;
        f.present_era = 2;
        failover_executor executor(f, f.lines);
        const auto done = executor.confirm_lead(f.row);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("p"), done->lead.primary());
        CPPUNIT_ASSERT(!done->lead.sealed());
        CPPUNIT_ASSERT_EQUAL(store_era{2}, era_of(done->lead.epoch()));
    }

    void promotion_lost_with_the_store_is_found_at_the_servers()
    {
        fake_group f;
        f.present_era = 2;
        f.members["q"].role = {true, 2, {2, 103}};
        failover_executor executor(f, f.lines);
        const auto confirmed = executor.confirm_lead(f.row);
        CPPUNIT_ASSERT(confirmed);
        CPPUNIT_ASSERT(confirmed->lead.sealed()); // nobody may use p
        const auto done = executor.change_primary(*confirmed, false);
        CPPUNIT_ASSERT(done);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), done->lead.primary());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, done->lead.term());
    }

    void epoch_lost_with_the_store_is_not_given_out_again()
    {
        fake_group f;
        f.present_era = 1;
        f.members["p"].answers = false;
        const auto copy = f.row;
        const auto lost = f.change_primary(false);
        f.row = copy;
        f.present_era = 2;
        failover_executor executor(f, f.lines);
        const auto again = executor.confirm_lead(copy);
        CPPUNIT_ASSERT(again->lead.epoch() > lost->lead.epoch());
    }

    void failover_ends_when_the_store_comes_back_older()
    {
        fake_group f;
        f.all_acknowledged = false;
        f.on_pause = [&]
        {
            f.present_era = 2;
            f.all_acknowledged = f.time > f.lease_end - milliseconds(100);
        };
        CPPUNIT_ASSERT(!f.change_primary(false));
        CPPUNIT_ASSERT(f.promotions.empty());
    }

    void lead_is_created_from_primary_of_latest_term()
    {
        fake_group f;
        f.members["r"].role = {true, 2, {2, 96}};
        f.row.version = 0;
        failover_executor executor(f, f.lines);
        const auto made = executor.create_lead("g");
        CPPUNIT_ASSERT(made);
        CPPUNIT_ASSERT_EQUAL(std::string("r"), made->lead.primary());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failover_executor_test);

} // namespace tanagerhoist

#include "tanagerhoist/fleet/fleet_coordinator.hpp"
#include "tanagerhoist/session/primary_lease.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace tanagerhoist
{
namespace
{

constexpr std::uint64_t seal_version = 50;

struct coordinator_fixture
{
    coordinator_fixture() : subject(limit_tolerance{}, false)
    {
        settings.workspaces["w"] = {100, 100};
        lead.set_group("g");
        lead.set_epoch(7);
        lead.set_sealed(true);
        members.read_at = now;
        members.answered_at = now;
        members.store_now = milliseconds(100000);
    }

    void add_member(const std::string& vm, std::uint64_t version,
                    milliseconds renewed)
    {
        auto& member = members.rows[vm];
        member.version = version;
        member.row.set_vm(vm);
        member.row.set_life(1);
        member.row.set_store_ms(static_cast<std::uint64_t>(renewed.count()));
    }

    proto::VmReport report(const std::string& vm)
    {
        proto::VmReport made;
        made.set_vm(vm);
        made.set_life(1);
        made.set_sequence(++sequence);
        made.set_token(token);
        return made;
    }

    bool sealed(moment at)
    {
        return subject.is_primary_unused(now, lead, seal_version, at, members);
    }

    moment now{std::chrono::hours(1)};
    session_settings settings;
    fleet_coordinator subject;
    fleet_members members;
    proto::GroupLead lead;
    std::uint64_t sequence = 0;
    std::uint64_t token = 4; ///< of the coordinator that the VMs have heard
};

} // namespace

class fleet_coordinator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_coordinator_test);
    CPPUNIT_TEST(primary_unreachable_for_most_is_replaced_after_delay);
    CPPUNIT_TEST(primary_reachable_for_most_is_kept);
    CPPUNIT_TEST(seal_waits_for_silent_vm);
    CPPUNIT_TEST(wait_for_a_silent_vm_is_told_until_its_lease_ends);
    CPPUNIT_TEST(wait_for_a_reporting_vm_is_short);
    CPPUNIT_TEST(seal_completes_when_all_have_acknowledged);
    CPPUNIT_TEST(seal_does_not_wait_for_expired_lease);
    CPPUNIT_TEST(seal_needs_members_read_after_it);
    CPPUNIT_TEST(vm_that_wrote_its_row_before_a_late_answer_is_waited_for);
    CPPUNIT_TEST(acknowledgement_of_earlier_process_is_ignored);
    CPPUNIT_TEST(vm_registered_after_the_seal_knows_of_it);
    CPPUNIT_TEST(seal_waits_for_leases_that_the_store_has_lost);
    CPPUNIT_TEST(running_vm_with_older_row_is_not_removed);
    CPPUNIT_TEST(grants_never_exceed_the_limit_of_a_window);
    CPPUNIT_TEST(empty_account_below_limit_is_not_exhausted);
    CPPUNIT_TEST(repeated_request_is_granted_once);
    CPPUNIT_TEST(repeated_report_gets_no_second_warmup_permit);
    CPPUNIT_TEST(delayed_position_keeps_its_age);
    CPPUNIT_TEST(position_told_to_former_coordinator_is_not_dated);
    CPPUNIT_TEST(late_report_of_former_process_takes_no_seal_back);
    CPPUNIT_TEST(confirmed_log_end_is_passed_on_with_its_age);
    CPPUNIT_TEST(balance_of_released_lease_is_granted);
    CPPUNIT_TEST(share_of_a_silent_vm_is_not_granted);
    CPPUNIT_TEST(new_coordinator_grants_for_the_vms_that_it_has_heard);
    CPPUNIT_TEST_SUITE_END();

public:
    void primary_unreachable_for_most_is_replaced_after_delay()
    {
        coordinator_fixture f;
        for (const auto* vm : {"a", "b"})
        {
            auto report = f.report(vm);
            report.add_unreachable("p");
            f.subject.apply_report(f.now, report);
        }
        auto other = f.report("c");
        other.add_reachable("p");
        f.subject.apply_report(f.now, other);
        CPPUNIT_ASSERT(!f.subject.is_primary_unreachable(f.now, "p"));
        f.now += milliseconds(300);
        CPPUNIT_ASSERT(f.subject.is_primary_unreachable(f.now, "p"));
        f.now += std::chrono::seconds(3); // the reports have expired
        CPPUNIT_ASSERT(!f.subject.is_primary_unreachable(f.now, "p"));
    }

    void primary_reachable_for_most_is_kept()
    {
        coordinator_fixture f;
        for (const auto* vm : {"a", "b"})
        {
            auto report = f.report(vm);
            report.add_reachable("p");
            f.subject.apply_report(f.now, report);
        }
        for (const auto* vm : {"c", "d"})
        {
            auto report = f.report(vm);
            report.add_unreachable("p");
            f.subject.apply_report(f.now, report);
        }
        f.subject.is_primary_unreachable(f.now, "p");
        f.now += milliseconds(1000);
        CPPUNIT_ASSERT(!f.subject.is_primary_unreachable(f.now, "p"));
    }

    void seal_waits_for_silent_vm()
    {
        coordinator_fixture f;
        f.add_member("a", 10, f.members.store_now - milliseconds(1000));
        CPPUNIT_ASSERT(!f.sealed(f.now));
        CPPUNIT_ASSERT(!f.sealed(f.now - primary_lease_duration));
        CPPUNIT_ASSERT(
            f.sealed(f.now - primary_lease_duration - primary_lease_margin));
    }

    static milliseconds told_wait(coordinator_fixture& f)
    {
        proto::FleetView view;
        f.subject.add_seal_waits(f.now, view);
        return milliseconds(
            view.seal_waits_size() == 0 ? 0 : view.seal_waits(0).wait_ms());
    }

    void wait_for_a_silent_vm_is_told_until_its_lease_ends()
    {
        coordinator_fixture f;
        f.add_member("a", 10, f.members.store_now - milliseconds(3000));
        CPPUNIT_ASSERT(!f.sealed(f.now));
        const milliseconds left{10500}; // of 13.5 s with the margin
        CPPUNIT_ASSERT(told_wait(f) == left);
        f.now += milliseconds(500);
        CPPUNIT_ASSERT(told_wait(f) == left - milliseconds(500));
        f.members.rows.clear(); // it restarted and has left
        CPPUNIT_ASSERT(f.sealed(f.now - milliseconds(500)));
        CPPUNIT_ASSERT(told_wait(f) == milliseconds(0));
    }

    void wait_for_a_reporting_vm_is_short()
    {
        coordinator_fixture f;
        f.add_member("a", 10, f.members.store_now);
        f.subject.apply_report(f.now, f.report("a"));
        CPPUNIT_ASSERT(!f.sealed(f.now));
        CPPUNIT_ASSERT(told_wait(f) < milliseconds(10));
    }

    void seal_completes_when_all_have_acknowledged()
    {
        coordinator_fixture f;
        f.add_member("a", 10, f.members.store_now);
        auto report = f.report("a");
        auto& ack = *report.add_sealed();
        ack.set_group("g");
        ack.set_epoch(6);
        f.subject.apply_report(f.now, report);
        CPPUNIT_ASSERT(!f.sealed(f.now)); // acknowledges an earlier seal
        report.set_sequence(report.sequence() + 1);
        report.mutable_sealed(0)->set_epoch(7);
        f.subject.apply_report(f.now, report);
        CPPUNIT_ASSERT(f.sealed(f.now));
    }

    void seal_does_not_wait_for_expired_lease()
    {
        coordinator_fixture f;
        f.add_member("gone", 10,
                     f.members.store_now - primary_lease_duration -
                         primary_lease_margin);
        CPPUNIT_ASSERT(!f.sealed(f.now));
        f.members.store_now += milliseconds(1);
        CPPUNIT_ASSERT(f.sealed(f.now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             f.subject.expired_vms(f.now, f.members).size());
    }

    void seal_needs_members_read_after_it()
    {
        coordinator_fixture f;
        f.members.read_at = f.now - milliseconds(1);
        CPPUNIT_ASSERT(!f.sealed(f.now));
        f.members.read_at = f.now;
        CPPUNIT_ASSERT(f.sealed(f.now));
    }

    void vm_that_wrote_its_row_before_a_late_answer_is_waited_for()
    {
        coordinator_fixture f;
        f.add_member("a", seal_version + 1, f.members.store_now);
        f.now += milliseconds(700);
        f.members.answered_at = f.now;
        CPPUNIT_ASSERT(!f.sealed(f.now - milliseconds(700)));
        f.now += milliseconds(500);
        CPPUNIT_ASSERT(f.sealed(f.now - milliseconds(1200)));
    }

    void acknowledgement_of_earlier_process_is_ignored()
    {
        coordinator_fixture f;
        f.add_member("a", 10, f.members.store_now);
        f.members.rows["a"].row.set_life(2);
        auto report = f.report("a");
        auto& ack = *report.add_sealed();
        ack.set_group("g");
        ack.set_epoch(7);
        f.subject.apply_report(f.now, report);
        CPPUNIT_ASSERT(!f.sealed(f.now));
    }

    void vm_registered_after_the_seal_knows_of_it()
    {
        coordinator_fixture f;
        f.add_member("a", seal_version + 1, f.members.store_now);
        CPPUNIT_ASSERT(
            !f.sealed(f.now)); // its running statements may not have ended yet
        f.now += milliseconds(500);
        CPPUNIT_ASSERT(f.sealed(f.now - milliseconds(500)));
    }

    void grants_never_exceed_the_limit_of_a_window()
    {
        coordinator_fixture f;
        std::minstd_rand random(7);
        const limit_tolerance tolerance;
        const auto& limits = f.settings.workspaces["w"];
        std::vector<std::pair<moment, std::uint64_t>> granted;
        for (int i = 0; i < 4000; ++i)
        {
            f.now += milliseconds(random() % 20);
            auto report = f.report(std::string(1, char('a' + random() % 7)));
            f.subject.apply_report(f.now, report);
            proto::GrantRequest request;
            request.set_vm(report.vm());
            request.set_life(1);
            request.set_sequence(++f.sequence);
            auto& demand = *request.add_demand();
            demand.set_workspace("w");
            demand.set_wanted(random() % 50);
            demand.set_missing(random() % 10);
            operation_grantor::grants given;
            CPPUNIT_ASSERT(
                f.subject.grantor().grant(f.now, f.settings, request, given));
            granted.emplace_back(f.now, given.Get(0).operations());
        }
        const double window = 5;
        const double most =
            (limits.rate * window + limits.burst) * (1 + tolerance.overage) +
            tolerance.slack;
        for (std::size_t i = 0; i < granted.size(); ++i)
        {
            double sum = 0;
            for (std::size_t k = i;
                 k < granted.size() &&
                 granted[k].first < granted[i].first + std::chrono::seconds(5);
                 ++k)
            {
                sum += static_cast<double>(granted[k].second);
            }
            CPPUNIT_ASSERT(sum <= most);
        }
    }

    // Guards against a read that missed a commit: a position delayed on its way
    // was dated from its arrival, so it seemed newer than it was.
    void delayed_position_keeps_its_age()
    {
        coordinator_fixture f;
        f.subject.reset(f.now, f.token, {}, 1);
        f.subject.apply_report(f.now, f.report("a"));
        f.subject.record_view(f.now, "a", 5);
        auto report = f.report("a");
        report.set_view(5);
        auto& sample = *report.add_positions();
        sample.set_group("g");
        sample.set_term(1);
        sample.set_number(100);
        sample.set_age_ms(10);
        f.now += milliseconds(700); // delivery takes 700 ms
        f.subject.apply_report(f.now, report);
        proto::FleetView view;
        f.subject.add_positions(f.now, view);
        CPPUNIT_ASSERT_EQUAL(1, view.positions_size());
        CPPUNIT_ASSERT(view.positions(0).age_ms() >= 710);
        report.set_sequence(report.sequence() + 1);
        report.set_view(4); // unknown view: the age can't be determined
        report.mutable_positions(0)->set_number(200);
        f.subject.apply_report(f.now, report);
        proto::FleetView later;
        f.subject.add_positions(f.now, later);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, later.positions(0).number());
    }

    /// Its age was counted from a view of this coordinator that had the same
    /// number as the former one's, and had not arrived yet.
    void position_told_to_former_coordinator_is_not_dated()
    {
        coordinator_fixture f;
        f.subject.reset(f.now, f.token, {}, 1);
        auto report = f.report("a");
        report.set_token(f.token - 1);
        report.set_view(5);
        f.subject.apply_report(f.now, report);
        f.now += milliseconds(20);
        f.subject.record_view(f.now, "a", 5);
        report.set_sequence(++f.sequence); // sent before that view arrived
        auto& sample = *report.add_positions();
        sample.set_group("g");
        sample.set_term(1);
        sample.set_number(100);
        f.now += milliseconds(20);
        f.subject.apply_report(f.now, report);
        proto::FleetView view;
        f.subject.add_positions(f.now, view);
        CPPUNIT_ASSERT_EQUAL(0, view.positions_size());
    }

    void late_report_of_former_process_takes_no_seal_back()
    {
        coordinator_fixture f;
        f.add_member("a", 10, f.members.store_now);
        f.members.rows["a"].row.set_life(2);
        const auto former = f.report("a");
        f.subject.apply_report(f.now, former);
        auto report = f.report("a");
        report.set_life(2);
        auto& ack = *report.add_sealed();
        ack.set_group("g");
        ack.set_epoch(7);
        f.subject.apply_report(f.now, report);
        f.subject.apply_report(f.now, former);
        CPPUNIT_ASSERT(f.sealed(f.now));
    }

    void confirmed_log_end_is_passed_on_with_its_age()
    {
        coordinator_fixture f;
        f.subject.confirm_log_end(f.lead, {3, 100}, f.now);
        f.now += milliseconds(700);
        proto::FleetView view;
        f.subject.add_positions(f.now, view);
        CPPUNIT_ASSERT_EQUAL(1, view.positions_size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, view.positions(0).term());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, view.positions(0).number());
        CPPUNIT_ASSERT(view.positions(0).age_ms() >= 700);
    }

    void empty_account_below_limit_is_not_exhausted()
    {
        coordinator_fixture f; // empty, as after a holder failed
        for (const std::uint64_t asked_per_s : {20U, 200U})
        {
            auto report = f.report("a");
            auto& demand = *report.add_demand();
            demand.set_workspace("w");
            demand.set_missing(5);
            demand.set_asked_per_1000s(asked_per_s * 1000);
            f.subject.apply_report(f.now, report);
            operation_grantor::grants given;
            f.subject.grantor().grant(f.now, f.settings, "a", given);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, given[0].operations());
            CPPUNIT_ASSERT_EQUAL(asked_per_s > 100, given[0].exhausted());
        }
    }

    void repeated_request_is_granted_once()
    {
        coordinator_fixture f;
        f.subject.apply_report(f.now, f.report("a"));
        proto::GrantRequest request;
        request.set_vm("a");
        request.set_life(1);
        request.set_sequence(++f.sequence);
        operation_grantor::grants given;
        CPPUNIT_ASSERT(
            f.subject.grantor().grant(f.now, f.settings, request, given));
        CPPUNIT_ASSERT(
            !f.subject.grantor().grant(f.now, f.settings, request, given));
    }

    /// Each report is answered by a view, also a repeated one.
    void repeated_report_gets_no_second_warmup_permit()
    {
        coordinator_fixture f;
        f.settings.groups["g"].warmup_rate = 100;
        const server_list servers = {{"s", {"s", "g"}}};
        f.subject.reset(f.now, f.token, {}, 1);
        f.now += std::chrono::seconds(10); // the former holder's have lapsed
        auto report = f.report("a");
        auto& demand = *report.add_warmup_demand();
        demand.set_server("s");
        demand.set_requests(1);
        for (const int permits : {1, 0})
        {
            f.subject.apply_report(f.now, report);
            proto::FleetView view;
            f.subject.add_warmup_permits(f.now, f.settings, servers, "a", view);
            CPPUNIT_ASSERT_EQUAL(permits, view.warmup_permits_size());
            f.now += std::chrono::seconds(1);
        }
    }

    void balance_of_released_lease_is_granted()
    {
        coordinator_fixture f;
        proto::DutyRow former;
        former.set_token(3);
        auto& left = *former.add_left();
        left.set_workspace("w");
        left.set_operations(9);
        f.subject.reset(f.now, f.token, former, 1);
        auto report = f.report("a");
        auto& demand = *report.add_demand();
        demand.set_workspace("w");
        demand.set_missing(20);
        f.subject.apply_report(f.now, report);
        operation_grantor::grants given;
        f.subject.grantor().grant(f.now, f.settings, "a", given);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, given.Get(0).operations());
        CPPUNIT_ASSERT(!given.Get(0).exhausted());
    }

    void share_of_a_silent_vm_is_not_granted()
    {
        coordinator_fixture f;
        f.settings.workspaces["w"] = {100, 100};
        refilled(f, {"a", "b"}); // both are told half of the rate
        const auto whole = refilled(f, {"a", "b"});
        f.now += std::chrono::seconds(1);
        refilled(f, {"b"});
        CPPUNIT_ASSERT(refilled(f, {"b"}) <= whole * 6 / 10);
        f.now += std::chrono::seconds(7); // longer than a VM goes on alone
        refilled(f, {"b"});
        CPPUNIT_ASSERT(refilled(f, {"b"}) >= whole - 1);
    }

    void new_coordinator_grants_for_the_vms_that_it_has_heard()
    {
        coordinator_fixture f;
        f.settings.workspaces["w"] = {100, 100};
        proto::DutyRow former;
        former.set_token(3);
        f.subject.reset(f.now, f.token, former, 2);
        const auto half = refilled(f, {"b"});
        f.now += std::chrono::seconds(8);
        refilled(f, {"b"});
        const auto whole = refilled(f, {"b"});
        CPPUNIT_ASSERT(half <= whole / 2 + 1);
        CPPUNIT_ASSERT(half >= whole / 2 - 1);
    }

    /// Reports a VM's demand.
    /// @return operations granted
    static std::uint64_t request(coordinator_fixture& f, const std::string& vm,
                                 std::uint64_t missing)
    {
        auto report = f.report(vm);
        auto& demand = *report.add_demand();
        demand.set_workspace("w");
        demand.set_missing(missing);
        demand.set_asked_per_1000s(30'000);
        f.subject.apply_report(f.now, report);
        operation_grantor::grants given;
        f.subject.grantor().grant(f.now, f.settings, vm, given);
        return given.Get(0).operations();
    }

    /// Operations that can be granted in 0.4 s, in which these VMs report.
    static std::uint64_t refilled(coordinator_fixture& f,
                                  const std::vector<std::string>& reporting)
    {
        request(f, reporting.back(), 1000);
        for (int i = 0; i < 4; ++i)
        {
            f.now += milliseconds(100);
            for (const auto& vm : reporting)
            {
                request(f, vm, 0);
            }
        }
        return request(f, reporting.back(), 1000);
    }

    void seal_waits_for_leases_that_the_store_has_lost()
    {
        coordinator_fixture f;
        f.members.incomplete_until = f.now + std::chrono::seconds(9);
        const auto begun = f.now;
        CPPUNIT_ASSERT(!f.sealed(begun)); // no row, but perhaps a lease
        proto::FleetView view;
        f.subject.add_seal_waits(f.now, view);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9000}, view.seal_waits(0).wait_ms());
        f.now += std::chrono::seconds(9);
        CPPUNIT_ASSERT(f.sealed(begun));
    }

    void running_vm_with_older_row_is_not_removed()
    {
        coordinator_fixture f;
        f.add_member("a", 1, milliseconds(0)); // written 100 s ago
        f.members.incomplete_until = f.now + milliseconds(1);
        CPPUNIT_ASSERT(f.subject.expired_vms(f.now, f.members).empty());
        f.now += milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             f.subject.expired_vms(f.now, f.members).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_coordinator_test);

} // namespace tanagerhoist

#include "tanagerhoist/fleet/warmup_ledger.hpp"

#include "tanagerhoist/session/coordinator_times.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace tanagerhoist
{
namespace
{

constexpr milliseconds step{10};
constexpr std::uint64_t limit = 33;

/// VMs that all want a server in its warm-up, their reports and views, which
/// take up to `longest_way`, and the coordinator, which changes.
class warmup_replay
{
public:
    warmup_replay(std::size_t vms, unsigned seed) : random_(seed), vms_(vms) {}

    void run(milliseconds time)
    {
        for (const auto end = now_ + time; now_ < end; now_ += step)
        {
            for (std::size_t i = 0; i < vms_.size(); ++i)
            {
                report_if_due(i);
                send_requests(i);
            }
            deliver_reports();
            deliver_views();
        }
    }

    /// Cuts off VMs from the coordinator; their last permits stay.
    void cut_off(std::size_t vms)
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            vms_[i].cut_off = true;
        }
    }

    /// Another process coordinates at once; views of the old one still arrive.
    void change_coordinator()
    {
        ledger_ = warmup_ledger();
        ledger_.reset(now_);
    }

    /// Most requests in any second.
    std::size_t most_in_a_second() const
    {
        std::size_t most = 0;
        auto first = sent_.begin();
        for (auto last = sent_.begin(); last != sent_.end(); ++last)
        {
            while (*first + std::chrono::seconds(1) <= *last)
            {
                ++first;
            }
            most = std::max(
                most, static_cast<std::size_t>(std::distance(first, last)) + 1);
        }
        return most;
    }

    std::size_t sent_between(moment from, moment to) const
    {
        return static_cast<std::size_t>(
            std::count_if(sent_.begin(), sent_.end(),
                          [&](moment at) { return at >= from && at < to; }));
    }

    moment now() const { return now_; }
    std::size_t sent_by(std::size_t vm) const { return vms_[vm].sent; }

private:
    struct vm_state
    {
        warmup_permits permits;
        moment next_report{};
        std::size_t sent = 0;
        bool cut_off = false;
    };
    struct message
    {
        std::size_t vm;
        std::uint64_t requests;
        moment reported;
    };
    using way = std::multimap<moment, message>; ///< by arrival

    moment arrival()
    {
        constexpr milliseconds longest_way{150};
        return now_ + milliseconds(random_() % (longest_way.count() + 1));
    }

    void report_if_due(std::size_t i)
    {
        auto& vm = vms_[i];
        if (vm.next_report == moment{})
        {
            vm.next_report =
                now_ + milliseconds(random_() % report_interval.count());
        }
        if (now_ < vm.next_report)
        {
            return;
        }
        vm.next_report = now_ + report_interval;
        proto::VmReport report;
        vm.permits.describe(now_, report);
        for (const auto& demand : report.warmup_demand())
        {
            reports_.emplace(arrival(), message{i, demand.requests(), now_});
        }
    }

    void deliver_reports()
    {
        while (!reports_.empty() && reports_.begin()->first <= now_)
        {
            const auto report = reports_.begin()->second;
            reports_.erase(reports_.begin());
            if (vms_[report.vm].cut_off)
            {
                continue;
            }
            const auto given = ledger_.grant(
                now_, "s", limit, std::to_string(report.vm), report.requests);
            views_.emplace(arrival(),
                           message{report.vm, given, report.reported});
        }
    }

    void deliver_views()
    {
        while (!views_.empty() && views_.begin()->first <= now_)
        {
            const auto view = views_.begin()->second;
            views_.erase(views_.begin());
            vms_[view.vm].permits.add("s", view.requests,
                                      view.reported + permit_lifetime);
        }
    }

    /// Uses permits in bursts and at odd times, as statements come.
    void send_requests(std::size_t i)
    {
        constexpr unsigned pause = 10; // in steps, on average
        if (random_() % pause != 0)
        {
            return;
        }
        auto& vm = vms_[i];
        for (int tries = 0; tries < 4; ++tries)
        {
            vm.permits.note_demand("s");
            if (vm.permits.take(now_, "s"))
            {
                ++vm.sent;
                sent_.push_back(now_);
            }
        }
    }

    std::minstd_rand random_;
    std::vector<vm_state> vms_;
    warmup_ledger ledger_;
    moment now_{std::chrono::hours(1)};
    way reports_;
    way views_;
    std::vector<moment> sent_;
};

} // namespace

class warmup_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(warmup_ledger_test);
    CPPUNIT_TEST(limit_holds_in_any_second_at_each_fleet_size);
    CPPUNIT_TEST(limit_holds_with_vms_cut_off_and_coordinators_changing);
    CPPUNIT_TEST(each_vm_and_each_second_get_requests);
    CPPUNIT_TEST(new_coordinator_grants_nothing_at_first);
    CPPUNIT_TEST(limit_below_one_request_grants_nothing);
    CPPUNIT_TEST(permits_lapse_and_the_oldest_are_used_first);
    CPPUNIT_TEST(limit_follows_the_rate_and_its_tolerance);
    CPPUNIT_TEST_SUITE_END();

public:
    void limit_holds_in_any_second_at_each_fleet_size()
    {
        for (const std::size_t vms : {1, 7, 64, 195})
        {
            warmup_replay replay(vms, 1);
            replay.run(std::chrono::seconds(20));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(vms),
                                   replay.most_in_a_second() <= limit);
        }
    }

    void limit_holds_with_vms_cut_off_and_coordinators_changing()
    {
        for (unsigned seed = 1; seed <= 40; ++seed)
        {
            warmup_replay replay(seed % 2 == 0 ? 7 : 64, seed);
            std::minstd_rand random(seed);
            for (std::size_t change = 0; change < 6; ++change)
            {
                replay.run(milliseconds(500 + random() % 4000));
                replay.cut_off(change);
                replay.change_coordinator();
            }
            replay.run(std::chrono::seconds(4));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(seed),
                                   replay.most_in_a_second() <= limit);
        }
    }

    void each_vm_and_each_second_get_requests()
    {
        constexpr std::size_t vms = 64;
        warmup_replay replay(vms, 1);
        replay.run(std::chrono::seconds(4));
        const auto begun = replay.now();
        replay.run(std::chrono::seconds(30));
        for (std::size_t vm = 0; vm < vms; ++vm)
        {
            CPPUNIT_ASSERT_MESSAGE(std::to_string(vm), replay.sent_by(vm) > 0);
        }
        for (auto from = begun; from < replay.now();
             from += std::chrono::seconds(1))
        {
            CPPUNIT_ASSERT(
                replay.sent_between(from, from + std::chrono::seconds(1)) > 0);
        }
    }

    /// Its predecessor may have granted everything a moment ago.
    void new_coordinator_grants_nothing_at_first()
    {
        const moment now{std::chrono::hours(1)};
        warmup_ledger subject;
        subject.reset(now);
        const auto lapsed = now + std::chrono::seconds(1) + permit_lifetime;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             subject.grant(lapsed, "s", limit, "vm", 1));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{1},
            subject.grant(lapsed + milliseconds(200), "s", limit, "vm", 1));
    }

    void limit_below_one_request_grants_nothing()
    {
        const moment now{std::chrono::hours(1)};
        warmup_ledger subject;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             subject.grant(now, "s", 0, "vm", 5));
    }

    void permits_lapse_and_the_oldest_are_used_first()
    {
        const moment now{std::chrono::hours(1)};
        warmup_permits subject;
        subject.add("s", 1, now + milliseconds(300));
        subject.add("s", 1, now + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, subject.available(now, "s"));
        CPPUNIT_ASSERT(subject.take(now, "s"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             subject.available(now + milliseconds(299), "s"));
        CPPUNIT_ASSERT(!subject.take(now + milliseconds(300), "s"));
        CPPUNIT_ASSERT(!subject.take(now, "t"));
    }

    void limit_follows_the_rate_and_its_tolerance()
    {
        session_group group;
        group.warmup_rate = 20;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{18}, warmup_limit(group, {}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{33}, warmup_limit(group, {1.5, 5}));
        group.warmup_rate = 0.5;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, warmup_limit(group, {}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(warmup_ledger_test);

} // namespace tanagerhoist

#include "tanagerhoist/fleet/grant_ledger.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

namespace tanagerhoist
{
namespace
{

proto::WorkspaceDemand make_demand(const std::string& workspace,
                                   std::uint64_t stock, std::uint64_t missing)
{
    proto::WorkspaceDemand demand;
    demand.set_workspace(workspace);
    demand.set_stock(stock);
    demand.set_missing(missing);
    return demand;
}

/// Accounts of one workspace that are added up anew for each grant, from all
/// VMs.
class recounted_account
{
public:
    proto::WorkspaceGrant grant(moment now, const session_workspace& limits,
                                const std::string& vm,
                                const proto::WorkspaceDemand& demand)
    {
        const auto allowed = allowance_of(limits, {});
        stocks[vm] = demand.stock();
        std::uint64_t held = 0;
        for (const auto& entry : stocks)
        {
            held += entry.second * token_unit;
        }
        const auto capacity =
            static_cast<std::uint64_t>(allowed.capacity * token_unit);
        available_.set_min_capacity(capacity - std::min(capacity, held));
        available_.use_share(now, static_cast<std::uint64_t>(allowed.rate), 0,
                             share_parts);
        if (!known_)
        {
            known_ = true;
            available_.clear();
        }
        available_.add(now, demand.returned() * token_unit);
        const auto most = capacity * 3 / 4 / token_unit / stocks.size();
        const auto target = std::min(demand.wanted(), most) + demand.missing();
        const auto left = available_.tokens(now) / token_unit;
        proto::WorkspaceGrant given;
        given.set_operations(
            std::min(left, target - std::min(target, demand.stock())));
        available_.take(now, given.operations() * token_unit);
        stocks[vm] += given.operations();
        double requested = 0;
        for (const auto& entry : rates)
        {
            requested += static_cast<double>(entry.second);
        }
        const bool calm = requested < 0.8 * allowed.rate * 1000;
        given.set_calm(left != 0 && calm);
        given.set_exhausted(left == 0 && !calm);
        return given;
    }

    std::map<std::string, std::uint64_t> stocks;
    std::map<std::string, std::uint64_t> rates;

private:
    token_bucket available_;
    bool known_ = false;
};

} // namespace

class grant_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(grant_ledger_test);
    CPPUNIT_TEST(first_start_grants_the_whole_capacity);
    CPPUNIT_TEST(stock_of_all_vms_counts_towards_the_capacity);
    CPPUNIT_TEST(forgotten_vm_holds_nothing);
    CPPUNIT_TEST(forgotten_vm_requests_nothing);
    CPPUNIT_TEST(vms_are_told_no_more_than_the_limit);
    CPPUNIT_TEST(workspace_near_its_limit_is_told_nothing);
    CPPUNIT_TEST(share_of_vm_without_coordinator_is_not_granted);
    CPPUNIT_TEST(vm_without_demand_is_forgotten);
    CPPUNIT_TEST(random_history_gives_the_same_as_counting_anew);
    CPPUNIT_TEST_SUITE_END();

public:
    void first_start_grants_the_whole_capacity()
    {
        const auto capacity =
            static_cast<std::uint64_t>(allowance_of(limits_, {}).capacity);
        CPPUNIT_ASSERT_EQUAL(capacity, granted("a", 0, 1000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, granted("b", 0, 1000));
    }

    void stock_of_all_vms_counts_towards_the_capacity()
    {
        const auto all = granted("a", 0, 1000);
        for (int i = 0; i < 60; ++i)
        {
            now_ += std::chrono::seconds(1);
            granted("a", all, 0); // keeps what it was granted
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, granted("b", 0, 1000));
    }

    void forgotten_vm_holds_nothing()
    {
        const auto all = granted("a", 0, 1000);
        granted("b", 0, 0);
        subject_.forget("a");
        now_ += std::chrono::seconds(60);
        granted("b", 0, 0); // from here on, up to the whole capacity
        now_ += std::chrono::seconds(60);
        CPPUNIT_ASSERT_EQUAL(all, granted("b", 0, 1000));
    }

    void forgotten_vm_requests_nothing()
    {
        subject_.note_rate(now_, "a", "w", 1'000'000);
        CPPUNIT_ASSERT(!grant("b", 0, 1).calm());
        subject_.forget("a");
        CPPUNIT_ASSERT(grant("b", 0, 1).calm());
    }

    void vms_are_told_no_more_than_the_limit()
    {
        now_ += std::chrono::seconds(5); // since this VM became coordinator
        std::uint64_t rate = 0;
        std::uint64_t at_once = 0;
        for (int i = 0; i < 300; ++i)
        {
            subject_.note_rate(now_, "vm" + std::to_string(i), "w", 200);
        }
        for (int i = 0; i < 300; ++i)
        {
            const auto told = grant("vm" + std::to_string(i), 0, 1);
            rate += told.standalone_per_1000s();
            at_once += told.standalone_at_once();
        }
        CPPUNIT_ASSERT(rate <= 100'000);
        CPPUNIT_ASSERT(rate >= 95'000);
        CPPUNIT_ASSERT(at_once <= 0.8 * 100 + 0.25 * 80);
        CPPUNIT_ASSERT(at_once >= 90);
    }

    void workspace_near_its_limit_is_told_nothing()
    {
        now_ += std::chrono::seconds(5);
        subject_.note_rate(now_, "a", "w", 95'000);
        const auto told = grant("a", 0, 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, told.standalone_per_1000s());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, told.standalone_at_once());
    }

    void share_of_vm_without_coordinator_is_not_granted()
    {
        subject_.note_rate(now_, "a", "w", 10'000);
        subject_.note_rate(now_, "b", "w", 10'000);
        grant("a", 0, 0); // is told half of the rate
        granted("b", 0, 1000);
        now_ += milliseconds(500);
        const auto whole = granted("b", 0, 1000);
        subject_.set_standalone("a", true);
        granted("b", 0, 1000);
        now_ += milliseconds(500);
        CPPUNIT_ASSERT(granted("b", 0, 1000) <= whole - 24);
        subject_.set_standalone("a", false);
        granted("b", 0, 1000);
        now_ += milliseconds(500);
        CPPUNIT_ASSERT_EQUAL(whole, granted("b", 0, 1000));
    }

    void vm_without_demand_is_forgotten()
    {
        subject_.note_rate(now_, "a", "w", 1'000'000);
        grant("a", 0, 0);
        CPPUNIT_ASSERT(!grant("b", 0, 1).calm());
        now_ += std::chrono::seconds(8);
        CPPUNIT_ASSERT(grant("b", 0, 1).calm());
    }

    void random_history_gives_the_same_as_counting_anew()
    {
        grant_ledger ledger({}, false);
        recounted_account oracle;
        std::minstd_rand random(11);
        for (int i = 0; i < 20000; ++i)
        {
            now_ += milliseconds(random() % 20);
            const auto vm = "vm" + std::to_string(random() % 40);
            switch (random() % 8)
            {
            case 0:
                ledger.forget(vm);
                oracle.stocks.erase(vm);
                oracle.rates.erase(vm);
                continue;
            case 1:
                oracle.rates[vm] = random() % 9000;
                oracle.stocks.try_emplace(vm, 0);
                ledger.note_rate(now_, vm, "w", oracle.rates[vm]);
                continue;
            default:
                break;
            }
            auto demand = make_demand("w", random() % 3, random() % 4);
            demand.set_wanted(random() % 20);
            demand.set_returned(random() % 2);
            const auto expected = oracle.grant(now_, limits_, vm, demand);
            const auto given = ledger.grant(now_, limits_, vm, demand);
            CPPUNIT_ASSERT_EQUAL(expected.operations(), given.operations());
            CPPUNIT_ASSERT_EQUAL(expected.calm(), given.calm());
            CPPUNIT_ASSERT_EQUAL(expected.exhausted(), given.exhausted());
        }
    }

private:
    proto::WorkspaceGrant grant(const std::string& vm, std::uint64_t stock,
                                std::uint64_t missing)
    {
        return subject_.grant(now_, limits_, vm,
                              make_demand("w", stock, missing));
    }

    std::uint64_t granted(const std::string& vm, std::uint64_t stock,
                          std::uint64_t missing)
    {
        return grant(vm, stock, missing).operations();
    }

    moment now_{std::chrono::hours(1)};
    session_workspace limits_{100, 100};
    grant_ledger subject_{{}, true};
};

CPPUNIT_TEST_SUITE_REGISTRATION(grant_ledger_test);

} // namespace tanagerhoist

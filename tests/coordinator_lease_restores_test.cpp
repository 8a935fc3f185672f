#include "coordinator_lease_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace tanagerhoist
{
namespace
{

/// Four VMs that renew or take the lease at random intervals.
class lease_trial
{
public:
    explicit lease_trial(unsigned seed) : random_(seed)
    {
        for (std::size_t vm = 0; vm < vm_count; ++vm)
        {
            restart(vm);
        }
    }

    void step()
    {
        now_ += milliseconds(random_() % 400);
        disturb();
        const auto vm = random_() % vm_count;
        auto& lease = *leases_[vm];
        lease.update(moment{}, milliseconds(random_() % 900));
        if (lease.holds(now_))
        {
            lives_by_token_[lease.term()->token].insert(lives_[vm]);
        }
    }

    std::size_t holders() const
    {
        return static_cast<std::size_t>(std::count_if(
            leases_.begin(), leases_.end(),
            [this](const auto& lease) { return lease->holds(now_); }));
    }

    /// Whether two processes have held the lease with one token.
    bool has_reused_token() const
    {
        return std::any_of(lives_by_token_.begin(), lives_by_token_.end(),
                           [](const auto& entry)
                           { return entry.second.size() > 1; });
    }

    std::size_t lives_that_held() const { return lives_by_token_.size(); }

private:
    static constexpr std::size_t vm_count = 4;

    void disturb()
    {
        switch (random_() % 40)
        {
        case 0:
            plain_.take_copy();
            break;
        case 1:
            plain_.restore();
            break;
        case 2:
            plain_.down = true;
            break;
        case 3:
            plain_.lose_next_answer = true;
            break;
        case 4:
            restart(random_() % vm_count);
            break;
        case 5:
            freeze_in_next_write(milliseconds(random_() % 4000));
            break;
        default:
            plain_.down = plain_.down && random_() % 8 != 0;
        }
    }

    /// The VM that writes next stands still between dating its row and sending
    /// it, or until the answer has waited for it.
    void freeze_in_next_write(milliseconds time)
    {
        plain_.on_write = [this, time]
        {
            now_ += time;
            plain_.on_write = nullptr;
        };
    }

    void restart(std::size_t vm)
    {
        lives_[vm] = ++last_life_;
        leases_[vm] = std::make_unique<coordinator_lease>(
            store_, member("vm" + std::to_string(vm), lives_[vm]),
            [this] { return now_; }, lines_);
    }

    std::minstd_rand random_;
    moment now_{std::chrono::hours(1)};
    fake_row_store plain_{now_};
    era_row_store store_{plain_};
    null_log lines_;
    std::uint64_t last_life_ = 0;
    std::array<std::uint64_t, vm_count> lives_{};
    std::array<std::unique_ptr<coordinator_lease>, vm_count> leases_;
    std::map<std::uint64_t, std::set<std::uint64_t>> lives_by_token_;
};

} // namespace

/// The coordinator lease when the store comes back older.
class coordinator_lease_restores_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(coordinator_lease_restores_test);
    CPPUNIT_TEST(token_lost_with_the_store_is_not_given_out_again);
    CPPUNIT_TEST(holder_keeps_lease_when_the_store_comes_back_older);
    CPPUNIT_TEST(holder_keeps_lease_when_its_row_is_lost);
    CPPUNIT_TEST(lease_of_older_copy_is_left_until_lost_claims_are_over);
    CPPUNIT_TEST(last_holder_takes_lease_of_older_copy_at_once);
    CPPUNIT_TEST(started_vm_leaves_missing_row_of_restored_store);
    CPPUNIT_TEST(balances_of_older_copy_are_not_granted_again);
    CPPUNIT_TEST(balances_are_not_granted_again_by_a_term_of_a_new_era);
    CPPUNIT_TEST(first_holder_is_not_the_first_again_in_a_new_era);
    CPPUNIT_TEST(renewal_answered_by_restored_store_is_repeated);
    CPPUNIT_TEST(row_of_former_build_is_believed_until_a_restore);
    CPPUNIT_TEST(random_restores_give_no_two_holders_and_no_token_twice);
    CPPUNIT_TEST_SUITE_END();

public:
    void token_lost_with_the_store_is_not_given_out_again()
    {
        two_vms f;
        f.a.update(f.never);
        f.plain.take_copy();
        f.now += coordinator_lease_duration;
        f.b.update(f.never);
        const auto lost = f.b.row().token();
        f.plain.restore();
        f.now += coordinator_lease_duration * 2;
        coordinator_lease started(
            f.store, member("c", 3), [&f] { return f.now; }, f.lines);
        started.update(f.never);
        f.now += coordinator_lease_duration;
        started.update(f.never);
        CPPUNIT_ASSERT(started.holds(f.now));
        CPPUNIT_ASSERT(started.row().token() > lost);
    }

    void holder_keeps_lease_when_the_store_comes_back_older()
    {
        two_vms f;
        f.a.update(f.never);
        f.plain.take_copy();
        f.now += coordinator_lease_duration;
        f.b.update(f.never);
        const auto token = f.b.row().token();
        f.plain.restore();
        f.now += coordinator_lease_renewal;
        for (int i = 0; i < 5; ++i)
        {
            f.a.update(f.never); // its own name stands in the copy
            f.b.update(f.never);
            CPPUNIT_ASSERT(!f.a.holds(f.now));
            CPPUNIT_ASSERT(f.b.holds(f.now));
            f.now += coordinator_lease_renewal;
        }
        CPPUNIT_ASSERT(f.b.row().token() > token);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), f.a.row().holder());
    }

    void holder_keeps_lease_when_its_row_is_lost()
    {
        two_vms f;
        f.a.update(f.never);
        f.plain.restore();
        f.now += coordinator_lease_renewal;
        f.a.update(f.never);
        f.a.update(f.never);
        f.now += coordinator_lease_renewal * 2;
        CPPUNIT_ASSERT(f.a.holds(f.now));
        f.b.update(f.never);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), f.b.row().holder());
    }

    void lease_of_older_copy_is_left_until_lost_claims_are_over()
    {
        two_vms f;
        f.a.update(f.never);
        f.plain.take_copy();
        f.now += coordinator_lease_duration * 2;
        f.plain.restore(); // a lost holder may have acquired it just before
        f.b.update(f.never);
        f.now += coordinator_lease_duration - milliseconds(1);
        f.b.update(f.never);
        CPPUNIT_ASSERT(!f.b.holds(f.now));
        f.now += milliseconds(1);
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
        CPPUNIT_ASSERT(f.b.row().era_since_ms() != 0);
    }

    void last_holder_takes_lease_of_older_copy_at_once()
    {
        two_vms f;
        f.a.update(f.never);
        f.plain.take_copy();
        f.plain.restore();
        f.now += coordinator_lease_duration - coordinator_lease_margin;
        CPPUNIT_ASSERT(!f.a.holds(f.now)); // the store was away for too long
        f.a.update(f.never);
        CPPUNIT_ASSERT(f.a.holds(f.now));
    }

    void started_vm_leaves_missing_row_of_restored_store()
    {
        two_vms f;
        f.a.update(f.never);
        f.plain.restore();
        f.b.update(f.never);
        f.now += coordinator_lease_duration - milliseconds(1);
        f.b.update(f.never);
        CPPUNIT_ASSERT(!f.b.holds(f.now));
        f.now += milliseconds(1);
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
    }

    void balances_of_older_copy_are_not_granted_again()
    {
        two_vms f;
        f.a.update(f.never);
        proto::WorkspaceBalance balance;
        balance.set_workspace("w");
        balance.set_operations(7);
        f.a.release({balance});
        f.plain.take_copy();
        f.plain.restore();
        f.b.update(f.never);
        CPPUNIT_ASSERT(!f.b.holds(f.now)); // a lost holder may have them
        f.now += coordinator_lease_duration;
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.b.holds(f.now));
        CPPUNIT_ASSERT_EQUAL(0, f.b.former().left_size());
        CPPUNIT_ASSERT(f.b.former().token() != 0); // not the first start
    }

    void balances_are_not_granted_again_by_a_term_of_a_new_era()
    {
        two_vms f;
        f.a.update(f.never);
        proto::WorkspaceBalance balance;
        balance.set_workspace("w");
        balance.set_operations(7);
        f.a.release({balance});
        f.b.update(f.never);
        CPPUNIT_ASSERT_EQUAL(1, f.b.former().left_size());
        f.plain.take_copy();
        f.plain.restore();
        const auto term = *f.b.term();
        f.b.update(f.never);
        f.b.update(f.never);
        CPPUNIT_ASSERT(f.b.term()->token > term.token);
        CPPUNIT_ASSERT_EQUAL(0, f.b.former().left_size());
        CPPUNIT_ASSERT(f.b.former().token() != 0);
    }

    void first_holder_is_not_the_first_again_in_a_new_era()
    {
        two_vms f;
        f.a.update(f.never);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, f.a.former().token());
        f.plain.take_copy();
        f.plain.restore();
        f.a.update(f.never);
        f.a.update(f.never);
        CPPUNIT_ASSERT(f.a.holds(f.now));
        CPPUNIT_ASSERT(f.a.former().token() != 0);
    }

    void renewal_answered_by_restored_store_is_repeated()
    {
        two_vms f;
        f.a.update(f.never);
        f.plain.take_copy();
        f.plain.restore(); // the row has the version that a knows
        f.now += coordinator_lease_renewal;
        CPPUNIT_ASSERT(!f.a.update(f.never));
        CPPUNIT_ASSERT(f.a.update(f.never));
        f.now += coordinator_lease_renewal * 2;
        CPPUNIT_ASSERT(f.a.holds(f.now));
        f.b.update(f.never);
        CPPUNIT_ASSERT_EQUAL(f.a.row().token(), f.b.row().token());
    }

    void row_of_former_build_is_believed_until_a_restore()
    {
        two_vms f;
        proto::DutyRow former;
        former.set_holder("z");
        former.set_token(5); // without an era
        former.set_renewed_ms(
            static_cast<std::uint64_t>(to_ms(f.now.time_since_epoch())));
        former.set_lease_ms(
            static_cast<std::uint64_t>(coordinator_lease_duration.count()));
        f.store.write(
            {{},
             {{"duty", "failover", former.SerializeAsString(), 0, false}},
             {}});
        f.a.update(f.never);
        CPPUNIT_ASSERT_EQUAL(std::string("z"), f.a.row().holder());
        f.now += coordinator_lease_duration;
        f.a.update(f.never);
        CPPUNIT_ASSERT(f.a.holds(f.now));
        CPPUNIT_ASSERT(f.a.row().token() > 5);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, f.a.row().era_since_ms());
        CPPUNIT_ASSERT(f.a.update(f.never));
    }

    /// Outages, copies, restores, lost answers and restarts at random moments.
    void random_restores_give_no_two_holders_and_no_token_twice()
    {
        std::size_t holders = 0;
        for (unsigned seed = 1; seed <= 200; ++seed)
        {
            lease_trial trial(seed);
            for (int step = 0; step < 600; ++step)
            {
                trial.step();
                CPPUNIT_ASSERT_MESSAGE(std::to_string(seed),
                                       trial.holders() <= 1);
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(seed),
                                   !trial.has_reused_token());
            holders += trial.lives_that_held();
        }
        CPPUNIT_ASSERT(holders > 400); // the lease changes hands all the time
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(coordinator_lease_restores_test);

} // namespace tanagerhoist

#include "proxy_fixture.hpp"
#include "tanagerhoist/fleet/fleet_coordinator.hpp"
#include "tanagerhoist/fleet/request_pacing.hpp"
#include "tanagerhoist/session/coordinator_times.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>

namespace tanagerhoist
{
namespace
{

/// VMs that admit operations of one workspace, and their coordinator, which
/// answers at once.
class limited_fleet
{
public:
    limited_fleet(std::size_t vms, double rate)
        : coordinator_(limit_tolerance{}, false)
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            fleet_.push_back(std::make_unique<vm>());
            auto& f = fleet_.back()->proxy;
            fleet_.back()->name = "vm" + std::to_string(i);
            f.settings.version = 2;
            f.settings.workspaces["w"] = {rate, rate};
            f.use_settings();
            f.subject.use_members(f.now, vms);
            fleet_.back()->session = f.start("primary");
        }
    }

    /// @param asked operations per second over all VMs
    /// @return operations admitted per second
    double run(std::chrono::seconds time, double asked)
    {
        admitted_ = 0;
        constexpr double steps_per_s = 1000;
        std::bernoulli_distribution arrives(asked / steps_per_s /
                                            static_cast<double>(fleet_.size()));
        for (milliseconds passed{0}; passed < time; ++passed)
        {
            for (std::size_t i = 0; i < fleet_.size(); ++i)
            {
                auto& member = *fleet_[i];
                member.proxy.advance(milliseconds(1));
                const auto turn = milliseconds(i) % report_interval;
                if (passed % report_interval == turn)
                {
                    report(member);
                }
                if (arrives(random_))
                {
                    ask(member);
                }
                request(member);
            }
        }
        return static_cast<double>(admitted_) /
               static_cast<double>(time.count());
    }

private:
    struct vm
    {
        std::string name;
        proxy_fixture proxy;
        request_pacing pacing;
        session_id session = 0;
        std::uint64_t sequence = 0;
        std::size_t answers_seen = 0;
        bool waiting = false;
    };

    void report(vm& member)
    {
        auto& f = member.proxy;
        proto::VmReport message;
        message.set_vm(member.name);
        message.set_life(1);
        message.set_sequence(++member.sequence);
        f.subject.describe(f.now, message);
        member.pacing.message_sent(f.now);
        coordinator_.apply_report(f.now, message);
        workspace_limits::grants given;
        coordinator_.grantor().grant(f.now, f.settings, member.name, given);
        f.subject.use_grants(f.now, given);
        f.subject.tick(f.now);
        collect(member);
    }

    /// Sends the start of a transaction, which needs an operation but no
    /// server.
    void ask(vm& member)
    {
        auto& f = member.proxy;
        if (member.waiting)
        {
            return; // the client waits for its answer
        }
        member.waiting = true;
        f.ask(member.session, f.make(statement_kind::begin));
        collect(member);
    }

    void request(vm& member)
    {
        auto& f = member.proxy;
        if (f.now < member.pacing.next_request() ||
            !f.subject.limits().needs_grant(f.now))
        {
            return;
        }
        proto::GrantRequest message;
        for (auto& demand : f.subject.limits().missing(f.now))
        {
            *message.add_demand() = std::move(demand);
        }
        if (message.demand_size() == 0)
        {
            return;
        }
        member.pacing.message_sent(f.now);
        message.set_vm(member.name);
        message.set_life(1);
        message.set_sequence(++member.sequence);
        workspace_limits::grants given;
        if (coordinator_.grantor().grant(f.now, f.settings, message, given))
        {
            f.subject.use_grants(f.now, given);
        }
        collect(member);
    }

    void collect(vm& member)
    {
        auto& f = member.proxy;
        const auto& answers = f.transport.answers[member.session];
        while (member.answers_seen < answers.size())
        {
            const bool error = answers[member.answers_seen].error.has_value();
            member.answers_seen = answers.size();
            member.waiting = false;
            if (!error)
            {
                ++admitted_;
                f.ask(member.session, f.make(statement_kind::rollback));
                member.answers_seen = answers.size();
            }
        }
    }

    std::vector<std::unique_ptr<vm>> fleet_;
    fleet_coordinator coordinator_;
    std::minstd_rand random_{1};
    std::size_t admitted_ = 0;
};

} // namespace

class grants_at_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(grants_at_limit_test);
    CPPUNIT_TEST(limit_is_used_fully_by_a_large_fleet);
    CPPUNIT_TEST(limit_is_used_fully_by_a_small_fleet);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double rate = 30; // operations per second

    /// Load pattern: callers of a workspace send twice its limit, spread over
    /// all VMs. Target: they get the limit, and no more than the operator
    /// tolerates in a window.
    static void check_use(std::size_t vms)
    {
        limited_fleet fleet(vms, rate);
        fleet.run(std::chrono::seconds(10), 2 * rate); // uses the burst up
        const auto used = fleet.run(std::chrono::seconds(20), 2 * rate);
        CPPUNIT_ASSERT(used >= 0.95 * rate);
        constexpr double window_s = 5;
        constexpr double bound =
            ((rate * window_s + rate) * 1.1 + 20) / window_s;
        CPPUNIT_ASSERT(used <= bound);
    }

public:
    void limit_is_used_fully_by_a_large_fleet() { check_use(195); }
    void limit_is_used_fully_by_a_small_fleet() { check_use(7); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(grants_at_limit_test);

} // namespace tanagerhoist

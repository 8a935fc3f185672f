#include "proxy_fixture.hpp"
#include "tanagerhoist/session/connection_budget.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>

namespace tanagerhoist
{
namespace
{

/// VMs that send statements to one primary, whose connections are fewer than
/// the VMs. The server refuses connections above its limit.
class shared_primary
{
public:
    static constexpr std::size_t vms = 64;
    static constexpr std::size_t connection_limit = 51;
    static constexpr milliseconds step{5};
    static constexpr milliseconds open_time{10};
    static constexpr milliseconds statement_time{15};

    shared_primary()
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            fleet_.push_back(std::make_unique<vm>());
            auto& f = fleet_.back()->proxy;
            f.settings.version = 2;
            f.settings.groups["g"] = {connection_limit, 0};
            f.settings.routes["primary"].open = true;
            f.use_settings();
            f.subject.use_members(f.now, vms);
            fleet_.back()->session = f.start("primary", "");
        }
    }

    /// @param interval of each VM's statements; the VMs take turns
    void run(milliseconds time, milliseconds interval)
    {
        for (milliseconds passed{0}; passed < time; passed += step)
        {
            for (std::size_t i = 0; i < fleet_.size(); ++i)
            {
                auto& member = *fleet_[i];
                const auto turn = interval * static_cast<int>(i) / vms;
                const bool due = (passed + interval - turn) % interval < step;
                advance(member, due);
            }
        }
    }

    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t refused_connections = 0;

private:
    struct vm
    {
        proxy_fixture proxy;
        session_id session = 0;
        std::deque<std::pair<moment, connection_id>> opening;
        std::deque<std::pair<moment, connection_id>> running;
        std::size_t opened_seen = 0;
        std::size_t sent_seen = 0;
        std::size_t closed_seen = 0;
        std::size_t answers_seen = 0;
    };

    void advance(vm& member, bool ask)
    {
        auto& f = member.proxy;
        f.advance(step);
        f.subject.renew_primary_lease(f.now);
        if (f.now.time_since_epoch() % proxy::tick_interval < step)
        {
            f.subject.tick(f.now);
        }
        const bool idle = member.opening.empty() && member.running.empty();
        if (ask && idle &&
            member.answers_seen == f.transport.answers[member.session].size())
        {
            f.ask(member.session, f.make(statement_kind::read, "1"));
        }
        serve(member);
        collect(member);
    }

    /// Plays the server for one VM.
    void serve(vm& member)
    {
        auto& f = member.proxy;
        auto& transport = f.transport;
        for (; member.closed_seen < transport.closed.size();
             ++member.closed_seen)
        {
            open_ -= accepted_.erase(
                {&member, transport.closed[member.closed_seen]});
        }
        for (; member.opened_seen < transport.opened.size();
             ++member.opened_seen)
        {
            member.opening.emplace_back(
                f.now, transport.opened[member.opened_seen].id);
        }
        for (; member.sent_seen < transport.sent.size(); ++member.sent_seen)
        {
            member.running.emplace_back(
                f.now, transport.sent[member.sent_seen].connection);
        }
        if (!member.opening.empty() &&
            f.now >= member.opening.front().first + open_time)
        {
            const auto id = member.opening.front().second;
            member.opening.pop_front();
            accept_or_refuse(member, id);
        }
        if (!member.running.empty() &&
            f.now >= member.running.front().first + statement_time)
        {
            const auto id = member.running.front().second;
            member.running.pop_front();
            f.subject.server_complete(f.now, id, f.next_signature());
            f.subject.server_ready(f.now, id, transaction_state::none,
                                   log_position{f.lead.term(), 100});
        }
    }

    void accept_or_refuse(vm& member, connection_id id)
    {
        auto& f = member.proxy;
        if (open_ >= connection_limit)
        {
            ++refused_connections;
            f.subject.connection_refused(f.now, id, session_error::too_many);
            return;
        }
        ++open_;
        accepted_.insert({&member, id});
        f.subject.connection_opened(f.now, id, std::nullopt);
    }

    void collect(vm& member)
    {
        const auto& answers = member.proxy.transport.answers[member.session];
        for (; member.answers_seen < answers.size(); ++member.answers_seen)
        {
            const bool error = answers[member.answers_seen].error.has_value();
            refused += error ? 1 : 0;
            served += error ? 0 : 1;
        }
    }

    std::vector<std::unique_ptr<vm>> fleet_;
    std::set<std::pair<const vm*, connection_id>> accepted_;
    std::size_t open_ = 0;
};

} // namespace

class connection_cap_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_cap_test);
    CPPUNIT_TEST(budget_with_few_vms_has_no_idle_limit);
    CPPUNIT_TEST(budget_with_more_vms_than_connections_limits_idle_time);
    CPPUNIT_TEST(scarce_connection_is_closed_once_idle);
    CPPUNIT_TEST(plentiful_connection_is_kept_idle);
    CPPUNIT_TEST(more_vms_than_connections_are_all_served);
    CPPUNIT_TEST_SUITE_END();

public:
    void budget_with_few_vms_has_no_idle_limit()
    {
        const auto budget = connection_budget_of(33, 7);
        CPPUNIT_ASSERT_EQUAL(4U, budget.connections);
        CPPUNIT_ASSERT(!budget.idle_time);
    }

    void budget_with_more_vms_than_connections_limits_idle_time()
    {
        const auto budget = connection_budget_of(180, 195);
        CPPUNIT_ASSERT_EQUAL(1U, budget.connections);
        CPPUNIT_ASSERT(budget.idle_time);
    }

    void scarce_connection_is_closed_once_idle()
    {
        proxy_fixture f;
        f.settings.version = 2;
        f.settings.groups["g"] = {51, 0};
        f.use_settings();
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::read, "1"));
        f.subject.use_members(f.now, 64);
        const auto connection = f.open_last();
        f.succeed();
        CPPUNIT_ASSERT(f.transport.closed.empty());
        f.advance(*connection_budget_of(51, 64).idle_time);
        f.subject.tick(f.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.closed.size());
        CPPUNIT_ASSERT_EQUAL(connection, f.transport.closed.front());
    }

    void plentiful_connection_is_kept_idle()
    {
        proxy_fixture f;
        const auto id = f.start("primary");
        f.ask(id, f.make(statement_kind::read, "1"));
        f.open_last();
        f.succeed();
        f.advance(milliseconds(5000));
        f.subject.tick(f.now);
        CPPUNIT_ASSERT(f.transport.closed.empty());
    }

    /// Load pattern: each VM sends a statement a second, so that at any moment
    /// few connections are in use. Target: no VM is kept out by idle ones.
    void more_vms_than_connections_are_all_served()
    {
        shared_primary group;
        group.run(milliseconds(20000), milliseconds(1000));
        constexpr std::size_t served_by_each = 18;
        CPPUNIT_ASSERT(group.served >= shared_primary::vms * served_by_each);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.refused_connections);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_cap_test);

} // namespace tanagerhoist

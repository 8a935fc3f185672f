#include "proxy_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{
namespace
{

/// A proxy of a large fleet, whose workspace is granted some operations once.
class granted_proxy : public proxy_fixture
{
public:
    explicit granted_proxy(std::size_t granted)
    {
        constexpr std::size_t vms = 1000; // too many for a share without grants
        subject.use_members(now, vms);
        settings.transaction_idle = milliseconds(0);
        settings.version = 2;
        use_settings();
        while (take_one())
        {
        }
        grant(granted);
    }

    /// Counts what is left by using it.
    std::size_t left()
    {
        std::size_t count = 0;
        while (take_one())
        {
            ++count;
        }
        return count;
    }

private:
    void grant(std::size_t operations)
    {
        workspace_limits::grants given;
        auto& of_w = *given.Add();
        of_w.set_workspace("w");
        of_w.set_operations(operations);
        of_w.set_exhausted(true);
        subject.use_grants(now, given);
    }

    /// Takes an operation by a transaction that its client rolls back.
    bool take_one()
    {
        const auto id = start("own");
        ask(id, make(statement_kind::begin));
        const bool taken = answered(id) && !transport.last_answer(id).error;
        if (taken)
        {
            ask(id, make(statement_kind::rollback));
        }
        subject.session_closed(now, id);
        return taken;
    }

    bool answered(session_id id) const
    {
        return transport.answers.count(id) != 0;
    }
};

/// Random events of clients and servers, and a plain count of the operations of
/// which something arrived at a server that did not say "not run".
class random_operations
{
public:
    static constexpr std::size_t granted = 300;

    explicit random_operations(unsigned seed) : random_(seed), f_(granted) {}

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            step();
            note_sent();
        }
        end_all();
        check();
    }

private:
    struct client
    {
        int operation = 0; ///< 0: none
        bool open = false; ///< a transaction
    };
    struct arrival
    {
        connection_id connection = 0;
        int operation = 0; ///< 0: of no client
        transaction_state state = transaction_state::none;
    };

    unsigned below(unsigned bound)
    {
        return static_cast<unsigned>(random_() % bound);
    }

    void step()
    {
        switch (below(12))
        {
        case 0:
        case 1:
            clients_[f_.start(below(2) == 0 ? "own" : "primary")];
            break;
        case 2:
        case 3:
        case 4:
            ask();
            break;
        case 5:
            leave();
            break;
        case 6:
            connect();
            break;
        case 7:
        case 8:
            answer(std::nullopt);
            break;
        case 9:
            answer(below(3) == 0 ? session_error::failed : session_error::busy);
            break;
        case 10:
            lose_connection();
            break;
        default:
            pass_time();
            break;
        }
    }

    bool waits(session_id id) const
    {
        return asked_.count(id) != 0 && f_.transport.answers.count(id) != 0
                   ? asked_.at(id) != f_.transport.answers.at(id).size()
                   : asked_.count(id) != 0;
    }

    session_id any_client()
    {
        if (clients_.empty())
        {
            return 0;
        }
        auto it = clients_.begin();
        std::advance(it, below(static_cast<unsigned>(clients_.size())));
        return it->first;
    }

    void ask()
    {
        const auto id = any_client();
        if (id == 0 || waits(id) || f_.transport.ended.count(id) != 0)
        {
            return;
        }
        auto& of = clients_.at(id);
        const auto kinds =
            of.open ? std::vector<statement_kind>{statement_kind::read,
                                                  statement_kind::write,
                                                  statement_kind::commit,
                                                  statement_kind::rollback,
                                                  statement_kind::malformed}
                    : std::vector<statement_kind>{
                          statement_kind::read, statement_kind::write,
                          statement_kind::begin, statement_kind::set};
        const auto kind = kinds.at(below(static_cast<unsigned>(kinds.size())));
        if (!of.open && kind != statement_kind::set)
        {
            of.operation = ++operations_;
        }
        ++asked_[id];
        by_query_["q" + std::to_string(f_.queries + 1)] = of.operation;
        f_.ask(id, f_.make(kind, "n" + std::to_string(below(2)),
                           std::to_string(below(3))));
        note_states();
    }

    /// Takes over which transactions are open, from the last answers.
    void note_states()
    {
        for (auto& [id, of] : clients_)
        {
            const auto found = f_.transport.answers.find(id);
            if (found != f_.transport.answers.end() && !waits(id))
            {
                of.open = found->second.back().state != transaction_state::none;
            }
        }
    }

    void leave()
    {
        const auto id = any_client();
        if (id != 0)
        {
            f_.subject.session_closed(f_.now, id);
            clients_.erase(id);
        }
    }

    void connect()
    {
        if (connected_ < f_.transport.opened.size())
        {
            const auto id = f_.transport.opened.at(connected_++).id;
            f_.subject.connection_opened(f_.now, id, std::nullopt);
        }
    }

    bool is_closed(connection_id id) const
    {
        const auto& closed = f_.transport.closed;
        return std::find(closed.begin(), closed.end(), id) != closed.end();
    }

    /// Notes what was sent to servers since the last call.
    void note_sent()
    {
        for (; sent_ < f_.transport.sent.size(); ++sent_)
        {
            const auto& sent = f_.transport.sent.at(sent_);
            const auto& query = sent.statement.query_id;
            auto& under_way = under_way_[sent.connection];
            under_way.connection = sent.connection;
            under_way.operation = query.empty() ? 0 : by_query_.at(query);
            if (under_way.operation != 0)
            {
                ++possibly_run_[under_way.operation];
            }
            switch (sent.statement.what.kind)
            {
            case statement_kind::begin:
            case statement_kind::begin_read:
                under_way.state = transaction_state::open;
                break;
            case statement_kind::commit:
            case statement_kind::rollback:
                under_way.state = transaction_state::none;
                break;
            default:
                break;
            }
        }
    }

    /// A server answers a statement that is under way.
    void answer(std::optional<session_error> error)
    {
        if (under_way_.empty())
        {
            return;
        }
        auto it = under_way_.begin();
        std::advance(it, below(static_cast<unsigned>(under_way_.size())));
        const auto answered = it->second;
        if (is_closed(answered.connection))
        {
            under_way_.erase(it);
            return;
        }
        if (answered_.count(answered.connection) != 0 &&
            answered_[answered.connection] == sent_on(answered.connection))
        {
            return;
        }
        answered_[answered.connection] = sent_on(answered.connection);
        if (error && is_not_run(*error) && answered.operation != 0)
        {
            --possibly_run_[answered.operation];
        }
        if (error)
        {
            // A text of its own, so that it can't be an earlier one.
            f_.subject.server_error(f_.now, answered.connection, *error,
                                    f_.next_signature());
        }
        else
        {
            f_.subject.server_complete(
                f_.now, answered.connection,
                answered.operation == 0 ? "-" : f_.next_signature());
        }
        const bool fails = error && answered.state == transaction_state::open;
        f_.subject.server_ready(f_.now, answered.connection,
                                fails ? transaction_state::failed
                                      : answered.state,
                                log_position{proxy_fixture::first_term, 100});
        note_states();
    }

    std::size_t sent_on(connection_id id) const
    {
        return static_cast<std::size_t>(std::count_if(
            f_.transport.sent.begin(), f_.transport.sent.end(),
            [id](const auto& sent) { return sent.connection == id; }));
    }

    void lose_connection()
    {
        if (!under_way_.empty())
        {
            auto it = under_way_.begin();
            std::advance(it, below(static_cast<unsigned>(under_way_.size())));
            const auto id = it->first;
            under_way_.erase(it);
            f_.subject.connection_lost(f_.now, id);
            note_states();
        }
    }

    void pass_time()
    {
        f_.advance(proxy::tick_interval);
        f_.subject.renew_primary_lease(f_.now);
        f_.subject.use_grants(f_.now, {}); // the coordinator is there
        f_.subject.tick(f_.now);
        note_states();
    }

    void end_all()
    {
        while (!clients_.empty())
        {
            leave();
        }
        note_sent();
    }

    /// Operations of which something ran, or may have, and no others are used.
    void check()
    {
        std::size_t used = 0;
        for (const auto& [operation, count] : possibly_run_)
        {
            used += count != 0 ? 1 : 0;
        }
        const auto left = f_.left();
        CPPUNIT_ASSERT(used > 0);
        CPPUNIT_ASSERT(used + left <= granted);
    }

    std::mt19937 random_;
    granted_proxy f_;
    std::map<session_id, client> clients_;
    std::map<session_id, std::size_t> asked_; ///< statements
    std::map<std::string, int> by_query_;     ///< operation
    std::map<connection_id, arrival> under_way_;
    std::map<connection_id, std::size_t> answered_;
    std::map<int, int> possibly_run_; ///< statements by operation
    std::size_t connected_ = 0;
    std::size_t sent_ = 0;
    int operations_ = 0;
};

} // namespace

/// Operations that workspaces are charged (QUOTA: clients that left while a
/// server ran their read got the operation back).
class proxy_operation_count_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_operation_count_test);
    CPPUNIT_TEST(client_that_leaves_gets_its_running_operation_back);
    CPPUNIT_TEST(client_that_leaves_a_transaction_gets_its_operation_back);
    CPPUNIT_TEST(statement_sent_after_its_client_left_is_given_back);
    CPPUNIT_TEST(error_in_a_transaction_gives_its_operation_back);
    CPPUNIT_TEST(operation_that_no_server_ran_is_charged);
    CPPUNIT_TEST(random_events_run_more_operations_than_granted);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t granted = 20;

public:
    void client_that_leaves_gets_its_running_operation_back()
    {
        granted_proxy f(granted);
        const auto id = f.start("own");
        f.ask(id, f.make(statement_kind::read, "1"));
        f.open_last();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.sent.size());
        f.subject.session_closed(f.now, id);
        CPPUNIT_ASSERT_EQUAL(granted - 1, f.left());
    }

    void client_that_leaves_a_transaction_gets_its_operation_back()
    {
        granted_proxy f(granted);
        const auto id = f.start("own");
        f.ask(id, f.make(statement_kind::begin_read));
        f.ask(id, f.make(statement_kind::read, "1"));
        f.open_last();
        f.succeed(transaction_state::open); // the begin
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.transport.sent.size());
        f.subject.session_closed(f.now, id);
        CPPUNIT_ASSERT_EQUAL(granted - 1, f.left());
    }

    void statement_sent_after_its_client_left_is_given_back()
    {
        granted_proxy f(granted);
        const auto id = f.start("own");
        f.ask(id, f.make(statement_kind::set, "name", "value"));
        f.ask(id, f.make(statement_kind::read, "1"));
        f.open_last();
        f.subject.session_closed(f.now, id);
        f.succeed(); // the set
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.transport.sent.size());
        f.succeed();
        CPPUNIT_ASSERT_EQUAL(granted - 1, f.left());
        for (const auto& [name, server] : f.subject.servers())
        {
            CPPUNIT_ASSERT_EQUAL(0U, server.running);
        }
    }

    void error_in_a_transaction_gives_its_operation_back()
    {
        granted_proxy f(granted);
        const auto id = f.start("own");
        f.ask(id, f.make(statement_kind::begin));
        f.ask(id, f.make(statement_kind::deallocate, "unknown"));
        CPPUNIT_ASSERT(f.transport.last_answer(id).error);
        CPPUNIT_ASSERT_EQUAL(granted - 1, f.left());
        f.ask(id, f.make(statement_kind::read, "1"));
        f.open_last();
        f.succeed(transaction_state::open); // the begin
        f.succeed(transaction_state::open);
        f.subject.session_closed(f.now, id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.left());
    }

    void operation_that_no_server_ran_is_charged()
    {
        granted_proxy f(granted);
        const auto waiting = f.start("own");
        f.ask(waiting, f.make(statement_kind::read, "1"));
        f.subject.session_closed(f.now, waiting);
        CPPUNIT_ASSERT_EQUAL(granted, f.left());
    }

    void random_events_run_more_operations_than_granted()
    {
        constexpr unsigned seeds = 60;
        constexpr int steps = 600;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            random_operations(seed).run(steps);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_operation_count_test);

} // namespace tanagerhoist

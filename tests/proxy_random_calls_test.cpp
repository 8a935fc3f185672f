#include "proxy_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace tanagerhoist
{
namespace
{

/// Clients and servers as the network shows them; notes what a proxy must not
/// do to them.
class checked_network : public proxy_transport
{
public:
    struct client
    {
        bool waits_for_answer = false;
    };
    struct link
    {
        std::string server;
        bool open = false;
        bool in_transaction = false;
        std::optional<server_statement> unanswered;
    };

    void answer(session_id session, const session_answer&) override
    {
        const auto it = clients.find(session);
        if (it == clients.end() || !it->second.waits_for_answer)
        {
            faults.emplace_back("answer without a statement");
            return;
        }
        it->second.waits_for_answer = false;
    }
    void accept_session(session_id session) override { clients[session]; }
    void end_session(session_id session, std::optional<session_error>) override
    {
        clients.erase(session);
    }
    void open(connection_id connection, const backend_server& server,
              const std::string&) override
    {
        links[connection].server = server.id;
    }
    void send(connection_id connection,
              const server_statement& statement) override
    {
        const auto it = links.find(connection);
        if (it == links.end() || !it->second.open || it->second.unanswered)
        {
            faults.emplace_back("statement on a connection that takes none");
            return;
        }
        it->second.unanswered = statement;
        ++sent[it->second.server];
    }
    void close(connection_id connection) override { links.erase(connection); }
    bool has_unread(connection_id) const override { return false; }
    void request_grant() override {}

    std::map<session_id, client> clients;
    std::map<connection_id, link> links;
    std::map<std::string, std::uint64_t> sent; ///< statements by server
    std::vector<std::string> faults;
};

/// Random calls of a proxy in random order.
class random_calls
{
public:
    /// @param warming whether all servers are in their warm-up all the time
    /// @param regional whether routes and workspaces allow changing regions
    explicit random_calls(unsigned seed, bool warming = false,
                          bool regional = false)
        : random_(seed),
          warming_(warming),
          regional_(regional),
          subject_("a", region_map({{"a", "west"}, {"b", "east"}}),
                   workspace_limits(limit_tolerance{}), network_, log_)
    {
        settings_.groups["g"] = {20, 0};
        if (warming)
        {
            settings_.groups["g"].warmup = std::chrono::hours(1000);
            settings_.groups["g"].warmup_rate = 1;
        }
        settings_.workspaces["w"] = {1000, 1000};
        settings_.workspaces["v"] = {1000, 1000};
        settings_.transaction_idle = milliseconds(3000);
        lead_.set_group("g");
        lead_.set_primary("p");
        change_settings();
        change_servers();
        change_lead();
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            step();
            check();
        }
    }

    /// Stops the proxy while servers answer no more.
    void drain()
    {
        constexpr int ticks = 100;
        subject_.begin_drain(drain_schedule(now_, milliseconds(1000)));
        for (int i = 0; i < ticks; ++i)
        {
            now_ += proxy::tick_interval;
            subject_.tick(now_);
            check();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network_.clients.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, subject_.sessions());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, subject_.waiting());
    }

private:
    static constexpr unsigned frequent = 20;

    unsigned below(unsigned bound)
    {
        return static_cast<unsigned>(random_() % bound);
    }
    bool one_in(unsigned count) { return below(count) == 0; }

    template <typename Map>
    auto any_of(Map& map)
    {
        return std::next(map.begin(), below(static_cast<unsigned>(map.size())));
    }

    void step()
    {
        const auto choice = below(100);
        if (choice < 8)
        {
            start_session();
        }
        else if (choice < 40)
        {
            ask();
        }
        else if (choice < 80)
        {
            server_event();
        }
        else if (choice < 83)
        {
            client_leaves();
        }
        else if (choice < 86)
        {
            change_settings();
        }
        else if (choice < 89)
        {
            change_servers();
        }
        else if (choice < 92)
        {
            change_lead();
        }
        else if (choice < 93)
        {
            subject_.use_members(now_, 1 + below(4));
        }
        else
        {
            let_time_pass();
        }
    }

    void start_session()
    {
        static const std::array<const char*, 4> names{"primary", "bounded",
                                                      "own", "none"};
        subject_.start_session(now_, ++last_session_, names.at(below(4)),
                               one_in(2) ? "key-w" : "key-v");
    }

    void ask()
    {
        static const std::array<statement_kind, 10> kinds{
            statement_kind::read,   statement_kind::read,
            statement_kind::write,  statement_kind::write,
            statement_kind::begin,  statement_kind::begin_read,
            statement_kind::commit, statement_kind::rollback,
            statement_kind::set,    statement_kind::deallocate};
        if (network_.clients.empty())
        {
            return;
        }
        const auto it = any_of(network_.clients);
        if (it->second.waits_for_answer)
        {
            return;
        }
        it->second.waits_for_answer = true;
        const auto id = it->first;
        const auto kind = kinds.at(below(kinds.size()));
        subject_.query(
            now_, id, "q" + std::to_string(++last_query_),
            proxy_fixture::make(kind, "n" + std::to_string(below(3)), "a"));
    }

    void server_event()
    {
        if (network_.links.empty())
        {
            return;
        }
        const auto it = any_of(network_.links);
        const auto id = it->first;
        if (one_in(frequent))
        {
            network_.links.erase(it);
            subject_.connection_lost(now_, id);
        }
        else if (!it->second.open)
        {
            finish_opening(id, it->second);
        }
        else if (it->second.unanswered)
        {
            answer(id, it->second);
        }
        else if (one_in(frequent))
        {
            subject_.server_ready(now_, id, transaction_state::none, {});
        }
    }

    void finish_opening(connection_id id, checked_network::link& link)
    {
        if (one_in(frequent))
        {
            network_.links.erase(id);
            subject_.connection_refused(now_, id,
                                        one_in(2)
                                            ? session_error::too_many
                                            : session_error::wrong_server);
            return;
        }
        link.open = true;
        subject_.connection_opened(now_, id, position());
    }

    void answer(connection_id id, checked_network::link& link)
    {
        const auto kind = link.unanswered->what.kind;
        const bool own = link.unanswered->query_id.empty();
        link.unanswered.reset();
        if (kind == statement_kind::begin || kind == statement_kind::begin_read)
        {
            link.in_transaction = true;
        }
        if (kind == statement_kind::commit || kind == statement_kind::rollback)
        {
            link.in_transaction = false;
        }
        if (one_in(frequent))
        {
            link.in_transaction = false;
            subject_.server_error(now_, id,
                                  one_in(2) ? session_error::lagging
                                            : session_error::busy,
                                  "server");
        }
        else
        {
            subject_.server_complete(
                now_, id,
                own ? "-" : "signature" + std::to_string(++last_signature_));
        }
        subject_.server_ready(now_, id,
                              link.in_transaction ? transaction_state::open
                                                  : transaction_state::none,
                              position());
    }

    std::optional<log_position> position()
    {
        if (one_in(4))
        {
            return std::nullopt;
        }
        return log_position{lead_.term(), ++last_number_};
    }

    void client_leaves()
    {
        if (network_.clients.empty())
        {
            return;
        }
        const auto it = any_of(network_.clients);
        const auto id = it->first;
        network_.clients.erase(it);
        subject_.session_closed(now_, id);
    }

    void change_settings()
    {
        settings_.routes.clear();
        settings_.keys.clear();
        add_route("primary", read_consistency::primary);
        add_route("bounded", read_consistency::bounded_staleness);
        add_route("own", read_consistency::read_your_writes);
        if (!one_in(4))
        {
            settings_.keys["key-w"] = "w";
        }
        settings_.keys["key-v"] = "v";
        settings_.groups["g"].connections = 3 + below(10);
        change_regions();
        ++settings_.version;
        subject_.use_settings(now_,
                              std::make_shared<session_settings>(settings_));
    }

    void change_regions()
    {
        const std::array<region_set, 5> choices{
            region_set{}, {"west"}, {"east"}, {"west", "east"}, {"north"}};
        for (auto& [database, route] : settings_.routes)
        {
            route.regions = choices.at(regional_ ? below(choices.size()) : 0);
        }
        for (auto& [name, workspace] : settings_.workspaces)
        {
            workspace.regions =
                choices.at(regional_ ? below(choices.size()) : 0);
        }
    }

    void add_route(const std::string& database, read_consistency consistency)
    {
        if (!one_in(4))
        {
            settings_.routes[database] = {"g",
                                          consistency,
                                          milliseconds(1000),
                                          milliseconds(200),
                                          milliseconds(1500),
                                          1,
                                          false};
        }
    }

    void change_servers()
    {
        server_list servers;
        for (const std::string id : {"p", "q", "r"})
        {
            if (one_in(4))
            {
                continue;
            }
            auto& server = servers[id] = proxy_fixture::server(
                id, regional_ && id != "p" ? (id == "q" ? "b" : "c") : "a");
            server.slots = 1 + below(3);
            server.draining = one_in(4);
            if (one_in(4))
            {
                server.address = "10.0.0.2";
            }
        }
        subject_.use_servers(now_, servers);
    }

    void change_lead()
    {
        static const std::array<const char*, 3> names{"p", "q", "r"};
        lead_.set_epoch(lead_.epoch() + 1);
        lead_.set_sealed(one_in(2));
        if (!lead_.sealed())
        {
            lead_.set_primary(names.at(below(3)));
            lead_.set_term(lead_.term() + 1);
        }
        subject_.use_lead(now_, lead_);
        if (lead_.sealed() && one_in(2))
        {
            proto::SealWait wait;
            wait.set_group("g");
            wait.set_wait_ms(below(5000));
            subject_.use_seal_wait(now_, wait);
        }
    }

    /// Mostly a tick's time; some longer, as a process that was frozen sees it.
    void let_time_pass()
    {
        now_ += one_in(frequent) ? milliseconds(below(15000))
                                 : proxy::tick_interval;
        if (!one_in(4))
        {
            subject_.renew_primary_lease(now_);
        }
        if (warming_ && !one_in(4))
        {
            give_permits();
        }
        subject_.tick(now_);
    }

    void give_permits()
    {
        warmup_permits::permits given;
        for (const auto* id : {"p", "q", "r"})
        {
            auto& permit = *given.Add();
            permit.set_server(id);
            permit.set_requests(below(4));
            permitted_[id] += permit.requests();
        }
        subject_.use_warmup_permits(now_, now_ + milliseconds(below(600)),
                                    given);
    }

    void check()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), network_.faults.empty()
                                                ? std::string()
                                                : network_.faults.front());
        CPPUNIT_ASSERT_EQUAL(network_.clients.size(), subject_.sessions());
        std::map<std::string, unsigned> used;
        for (const auto& [id, link] : network_.links)
        {
            ++used[link.server];
        }
        for (const auto* id : {"p", "q", "r"})
        {
            const auto* server = subject_.server(id);
            CPPUNIT_ASSERT(!warming_ || network_.sent[id] <= permitted_[id]);
            CPPUNIT_ASSERT_EQUAL(used[id],
                                 server == nullptr ? 0 : server->connections);
            if (server != nullptr)
            {
                CPPUNIT_ASSERT(server->opening <= server->connections);
                CPPUNIT_ASSERT(server->running <= server->connections);
            }
        }
    }

    std::minstd_rand random_;
    bool warming_;
    bool regional_;
    std::map<std::string, std::uint64_t> permitted_; ///< by server
    moment now_{std::chrono::hours(1)};
    checked_network network_;
    null_log log_;
    proxy subject_;
    session_settings settings_;
    proto::GroupLead lead_;
    session_id last_session_ = 0;
    int last_query_ = 0;
    int last_signature_ = 0;
    std::uint64_t last_number_ = 0;
};

} // namespace

class proxy_random_calls_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_random_calls_test);
    CPPUNIT_TEST(random_calls_leave_sessions_and_connections_consistent);
    CPPUNIT_TEST(random_calls_send_no_more_than_permitted_during_warm_ups);
    CPPUNIT_TEST(random_regions_leave_sessions_and_connections_consistent);
    CPPUNIT_TEST_SUITE_END();

public:
    void random_calls_leave_sessions_and_connections_consistent()
    {
        constexpr unsigned seeds = 40;
        constexpr int steps = 2000;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            random_calls calls(seed);
            calls.run(steps);
            calls.drain();
        }
    }

    void random_regions_leave_sessions_and_connections_consistent()
    {
        constexpr unsigned seeds = 40;
        constexpr int steps = 2000;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            random_calls calls(seed, false, true);
            calls.run(steps);
            calls.drain();
        }
    }

    void random_calls_send_no_more_than_permitted_during_warm_ups()
    {
        constexpr unsigned seeds = 40;
        constexpr int steps = 2000;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            random_calls calls(seed, true);
            calls.run(steps);
            calls.drain();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_random_calls_test);

} // namespace tanagerhoist

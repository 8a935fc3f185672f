#include "proxy_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{
namespace
{

/// A line of a server.
struct sent_line
{
    enum class kind
    {
        row,
        complete,
        error,
        ready
    };
    kind what = kind::ready;
    std::string text;
    session_error error = session_error::busy;
    transaction_state state = transaction_state::none;
};

/// A connection as its server sees it.
struct server_link
{
    std::string server;
    bool open = false;
    bool in_transaction = false;
    std::map<std::string, std::string> values;
    std::deque<server_statement> asked;
    std::deque<sent_line> arrived; ///< not passed on yet
    std::deque<sent_line> late;    ///< part of an earlier answer, sent again
};

/// What a client has asked for and not been answered.
struct random_client
{
    std::optional<std::string> asked; ///< id of its statement
    statement_kind kind = statement_kind::read;
    transaction_state state = transaction_state::none;
    std::map<std::string, std::string> values;
    std::set<std::string> uncommitted; ///< writes of its transaction
};

/// Servers that repeat answers as a whole and in part, late and at once, and
/// clients that check what they get.
class repeating_network : public proxy_transport
{
public:
    void answer(session_id session, const session_answer& answer) override
    {
        const auto it = clients.find(session);
        if (it == clients.end() || !it->second.asked)
        {
            faults.emplace_back("answer without a statement");
            return;
        }
        check(it->second, answer);
        if (it->second.kind == statement_kind::set && !answer.error)
        {
            it->second.values["v"] = *it->second.asked;
        }
        it->second.asked.reset();
        it->second.state = answer.state;
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
        if (it == links.end() || !it->second.open)
        {
            faults.emplace_back("statement on a connection that takes none");
            return;
        }
        it->second.asked.push_back(statement);
    }
    void close(connection_id connection) override { links.erase(connection); }
    bool has_unread(connection_id connection) const override
    {
        const auto it = links.find(connection);
        return it != links.end() && !it->second.arrived.empty();
    }
    void request_grant() override {}

    std::map<session_id, random_client> clients;
    std::map<connection_id, server_link> links;
    std::set<std::string> written; ///< ids of writes outside transactions
    std::map<std::string, std::string> signed_for; ///< id by signature
    std::vector<std::string> faults;
    std::size_t served = 0;

private:
    void check(const random_client& client, const session_answer& answer)
    {
        const auto& id = *client.asked;
        if (answer.error)
        {
            const auto error = *answer.error;
            const bool promise = error == session_error::busy ||
                                 error == session_error::aborted ||
                                 error == session_error::lagging ||
                                 error == session_error::read_only;
            if (promise && written.count(id) != 0)
            {
                faults.push_back("promise for a write that ran: " + id);
            }
            return;
        }
        const bool at_server = client.kind == statement_kind::read ||
                               client.kind == statement_kind::write ||
                               client.kind == statement_kind::commit;
        if (!at_server)
        {
            return;
        }
        ++served;
        const auto found = signed_for.find(answer.signature);
        if (found == signed_for.end() || found->second != id)
        {
            faults.push_back("signature " + answer.signature + " for " + id);
        }
        std::vector<std::string> rows;
        if (client.kind == statement_kind::read)
        {
            rows = {"row " + id, "more " + id};
        }
        if (answer.rows != rows)
        {
            faults.push_back("other rows for " + id);
        }
    }
};

/// Random statements at servers that repeat answers.
class random_answers
{
public:
    explicit random_answers(unsigned seed)
        : random_(seed),
          subject_("a", region_map({{"a", "west"}, {"b", "east"}}),
                   workspace_limits(limit_tolerance{}), network_, log_)
    {
        settings_.version = 1;
        settings_.groups["g"] = {6, 0};
        settings_.workspaces["w"] = {100000, 100000};
        settings_.keys["key-w"] = "w";
        settings_.transaction_idle = milliseconds(3000);
        add_route("primary", read_consistency::primary, 0);
        add_route("bounded", read_consistency::bounded_staleness, 1500);
        subject_.use_settings(now_,
                              std::make_shared<session_settings>(settings_));
        server_list servers{{"p", proxy_fixture::server("p", "a")},
                            {"q", proxy_fixture::server("q", "a")}};
        subject_.use_servers(now_, servers);
        lead_.set_group("g");
        lead_.set_epoch(1);
        lead_.set_primary("p");
        lead_.set_term(3);
        subject_.use_lead(now_, lead_);
        subject_.renew_primary_lease(now_);
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            step();
            CPPUNIT_ASSERT_EQUAL(std::string(), network_.faults.empty()
                                                    ? std::string()
                                                    : network_.faults.front());
            check_counts();
        }
    }

    std::size_t served() const { return network_.served; }

private:
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

    void add_route(const std::string& database, read_consistency consistency,
                   int staleness_ms)
    {
        settings_.routes[database] = {"g",
                                      consistency,
                                      milliseconds(1000),
                                      milliseconds(200),
                                      milliseconds(staleness_ms),
                                      1,
                                      false};
    }

    void step()
    {
        const auto choice = below(100);
        if (choice < 2 && network_.clients.size() < 8)
        {
            subject_.start_session(now_, ++last_session_,
                                   one_in(2) ? "primary" : "bounded", "key-w");
        }
        else if (choice < 30)
        {
            ask();
        }
        else if (choice < 50)
        {
            run_statement();
        }
        else if (choice < 85)
        {
            deliver();
        }
        else if (choice < 90)
        {
            late_lines_arrive();
        }
        else if (choice < 91)
        {
            lose();
        }
        else
        {
            let_time_pass();
        }
    }

    void ask()
    {
        static const std::array<statement_kind, 8> kinds{
            statement_kind::read,   statement_kind::read,
            statement_kind::write,  statement_kind::begin,
            statement_kind::commit, statement_kind::begin_read,
            statement_kind::set,    statement_kind::rollback};
        if (network_.clients.empty())
        {
            return;
        }
        const auto it = any_of(network_.clients);
        auto& client = it->second;
        if (client.asked)
        {
            return;
        }
        client.kind = kinds.at(below(kinds.size()));
        const auto id = "i" + std::to_string(++last_id_);
        client.asked = id;
        subject_.query(now_, it->first, id,
                       proxy_fixture::make(
                           client.kind,
                           client.kind == statement_kind::set ? "v" : id, id));
    }

    /// Lets a server run a statement that it was sent.
    void run_statement()
    {
        if (network_.links.empty())
        {
            return;
        }
        const auto it = any_of(network_.links);
        auto& link = it->second;
        if (!link.open)
        {
            link.open = true;
            subject_.connection_opened(now_, it->first, position());
            return;
        }
        if (link.asked.empty())
        {
            return;
        }
        const auto asked = link.asked.front();
        link.asked.pop_front();
        const auto answer = answer_to(link, asked);
        link.arrived.insert(link.arrived.end(), answer.begin(), answer.end());
        if (one_in(4))
        {
            const auto size =
                one_in(2) ? answer.size()
                          : 1 + below(static_cast<unsigned>(answer.size()));
            auto& to = one_in(2) ? link.arrived : link.late;
            to.insert(to.end(), answer.begin(),
                      answer.begin() + static_cast<std::ptrdiff_t>(size));
        }
    }

    std::vector<sent_line> answer_to(server_link& link,
                                     const server_statement& asked)
    {
        const auto kind = asked.what.kind;
        const bool begins =
            kind == statement_kind::begin || kind == statement_kind::begin_read;
        const bool ends =
            kind == statement_kind::commit || kind == statement_kind::rollback;
        const bool of_client = !asked.query_id.empty();
        if ((of_client || begins) && one_in(12))
        {
            link.in_transaction = false;
            auto error =
                asked.after ? session_error::lagging : session_error::busy;
            error = begins && !asked.after ? session_error::read_only : error;
            return {{sent_line::kind::error, "i-1", error, {}},
                    {sent_line::kind::ready, "", error, {}}};
        }
        std::vector<sent_line> answer;
        std::string signature = "-";
        if (of_client)
        {
            signature = "s" + std::to_string(++last_signature_);
            network_.signed_for[signature] = asked.query_id;
        }
        if (kind == statement_kind::read)
        {
            answer.push_back(
                {sent_line::kind::row, "row " + asked.query_id, {}, {}});
            answer.push_back(
                {sent_line::kind::row, "more " + asked.query_id, {}, {}});
        }
        if (kind == statement_kind::write && !link.in_transaction)
        {
            network_.written.insert(asked.query_id);
        }
        if (kind == statement_kind::set)
        {
            link.values[asked.what.name] = asked.what.argument;
        }
        if (kind == statement_kind::reset)
        {
            link.values.clear();
        }
        check_place(link, asked);
        link.in_transaction = begins || (link.in_transaction && !ends);
        answer.push_back({sent_line::kind::complete, signature, {}, {}});
        answer.push_back({sent_line::kind::ready, "", session_error::busy,
                          link.in_transaction ? transaction_state::open
                                              : transaction_state::none});
        return answer;
    }

    /// Whether a client's statement runs with its values and in its
    /// transaction.
    void check_place(const server_link& link, const server_statement& asked)
    {
        for (const auto& [id, client] : network_.clients)
        {
            if (client.asked != asked.query_id)
            {
                continue;
            }
            if (link.values != client.values)
            {
                network_.faults.push_back("other values: " + asked.query_id);
            }
            if (link.in_transaction !=
                (client.state == transaction_state::open))
            {
                network_.faults.push_back("other transaction: " +
                                          asked.query_id);
            }
        }
    }

    /// Passes some of a server's lines on.
    void deliver()
    {
        if (network_.links.empty())
        {
            return;
        }
        const auto id = any_of(network_.links)->first;
        for (auto lines = 1 + below(8); lines != 0; --lines)
        {
            const auto it = network_.links.find(id);
            if (it == network_.links.end() || it->second.arrived.empty())
            {
                return;
            }
            const auto line = it->second.arrived.front();
            it->second.arrived.pop_front();
            deliver(id, line);
        }
        const auto it = network_.links.find(id);
        if (it != network_.links.end() && !it->second.arrived.empty())
        {
            subject_.server_bytes(now_, id);
        }
    }

    void deliver(connection_id id, const sent_line& line)
    {
        switch (line.what)
        {
        case sent_line::kind::row:
            subject_.server_row(now_, id, line.text);
            break;
        case sent_line::kind::complete:
            subject_.server_complete(now_, id, line.text);
            break;
        case sent_line::kind::error:
            subject_.server_error(now_, id, line.error, line.text);
            break;
        default:
            subject_.server_ready(now_, id, line.state, position());
            break;
        }
    }

    std::optional<log_position> position()
    {
        return log_position{lead_.term(), 7};
    }

    /// What a server sends again arrives, at times with its next answer.
    void late_lines_arrive()
    {
        for (auto& [id, link] : network_.links)
        {
            if (one_in(3))
            {
                link.arrived.insert(link.arrived.end(), link.late.begin(),
                                    link.late.end());
                link.late.clear();
            }
        }
    }

    /// A client leaves, or a connection is lost.
    void lose()
    {
        if (one_in(2) && !network_.clients.empty())
        {
            const auto id = any_of(network_.clients)->first;
            network_.clients.erase(id);
            subject_.session_closed(now_, id);
        }
        else if (!network_.links.empty())
        {
            const auto id = any_of(network_.links)->first;
            network_.links.erase(id);
            subject_.connection_lost(now_, id);
        }
    }

    void let_time_pass()
    {
        now_ += milliseconds(1 + below(60));
        subject_.renew_primary_lease(now_);
        subject_.tick(now_);
    }

    void check_counts()
    {
        CPPUNIT_ASSERT_EQUAL(network_.clients.size(), subject_.sessions());
        std::map<std::string, unsigned> used;
        for (const auto& [id, link] : network_.links)
        {
            ++used[link.server];
        }
        for (const auto* id : {"p", "q"})
        {
            const auto* server = subject_.server(id);
            CPPUNIT_ASSERT_EQUAL(used[id], server->connections);
            CPPUNIT_ASSERT(server->opening <= server->connections);
            CPPUNIT_ASSERT(server->running <= server->connections);
        }
    }

    std::minstd_rand random_;
    moment now_{std::chrono::hours(1)};
    repeating_network network_;
    null_log log_;
    proxy subject_;
    session_settings settings_;
    proto::GroupLead lead_;
    session_id last_session_ = 0;
    int last_id_ = 0;
    int last_signature_ = 0;
};

} // namespace

class proxy_random_answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_random_answers_test);
    CPPUNIT_TEST(repeated_answers_meet_no_other_statement);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeated_answers_meet_no_other_statement()
    {
        constexpr unsigned seeds = 100;
        constexpr int steps = 5000;
        std::size_t served = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            random_answers answers(seed);
            answers.run(steps);
            served += answers.served();
        }
        CPPUNIT_ASSERT(served > std::size_t{100} * seeds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_random_answers_test);

} // namespace tanagerhoist

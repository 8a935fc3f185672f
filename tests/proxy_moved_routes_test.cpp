#include "proxy_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace tanagerhoist
{
namespace
{

/// A proxy with further groups, to which the route "own" can be moved. Each has
/// a primary, `GROUP-p`, and a replica, `GROUP-r`, which reads prefer: it is
/// nearer and has a connection.
class moving_route : public proxy_fixture
{
public:
    moving_route()
    {
        servers.erase("r"); // "g" has the replica q only
        servers["p"].data_centre = "c";
        servers["q"].data_centre = "a";
        for (const auto* group : {"h", "i", "j", "k", "l"})
        {
            add_group(group);
        }
        subject.use_servers(now, servers);
        const auto first_reader = start("own");
        for (const auto* group : {"h", "i", "j", "k", "l", "g"})
        {
            move_to(group);
            CPPUNIT_ASSERT(!is_primary(read(first_reader, 1)));
        }
    }

    /// Puts settings in force that differ by `edit`.
    template <typename Edit>
    void change(Edit edit)
    {
        edit();
        ++settings.version;
        use_settings();
    }

    void move_to(const std::string& group)
    {
        change([&] { settings.routes["own"].group = group; });
    }

    /// Writes in the session's present group.
    void write(session_id client, std::uint64_t number)
    {
        ask(client, make(statement_kind::write, "1"));
        connect_if_opened();
        subject.server_complete(now, transport.sent.back().connection,
                                signature_of_last());
        subject.server_ready(now, transport.sent.back().connection,
                             transaction_state::none,
                             log_position{first_term, number});
        CPPUNIT_ASSERT(!transport.last_answer(client).error);
    }

    /// Reads while all VMs know positions up to `known`.
    /// @return the server that gets the read
    std::string read(session_id client, std::uint64_t known)
    {
        tell_positions(known);
        const auto sent = transport.sent.size();
        ask(client, make(statement_kind::read, "1"));
        connect_if_opened();
        CPPUNIT_ASSERT_EQUAL(sent + 1, transport.sent.size());
        const auto connection = transport.sent.back().connection;
        after = transport.sent.back().statement.after;
        subject.server_complete(now, connection, signature_of_last());
        subject.server_ready(now, connection, transaction_state::none,
                             log_position{first_term, known});
        for (const auto& opened : transport.opened)
        {
            if (opened.id == connection)
            {
                return opened.server;
            }
        }
        return {};
    }

    static bool is_primary(const std::string& server)
    {
        return server == "p" || server.find("-p") != std::string::npos;
    }

    /// Whether a read ran where the log surely has a commit.
    bool is_covered(const std::string& server, std::uint64_t number) const
    {
        return is_primary(server) ||
               (after && !(*after < log_position{first_term, number}));
    }

    std::optional<log_position> after; ///< that the last read asked for

private:
    void add_group(const std::string& name)
    {
        settings.groups[name] = {20, 0};
        for (const auto* role : {"-p", "-r"})
        {
            auto made =
                server(name + role, role == std::string("-p") ? "c" : "a");
            made.group = name;
            servers[made.id] = made;
        }
        proto::GroupLead of_group;
        of_group.set_group(name);
        of_group.set_epoch(1);
        of_group.set_primary(name + "-p");
        of_group.set_term(first_term);
        subject.use_lead(now, of_group);
    }

    void tell_positions(std::uint64_t number)
    {
        for (const auto& [name, group] : settings.groups)
        {
            proto::PositionSample sample;
            sample.set_group(name);
            sample.set_term(first_term);
            sample.set_number(number);
            subject.use_position(now, sample);
        }
    }

    void connect_if_opened()
    {
        if (transport.opened.size() != connected_)
        {
            connected_ = transport.opened.size();
            subject.connection_opened(now, transport.opened.back().id,
                                      std::nullopt);
        }
    }

    std::size_t connected_ = 0;
};

} // namespace

/// Reads of a session's own commits whose route is moved (STALE: after a route
/// was moved and moved back, a session read without its own commit).
class proxy_moved_routes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(proxy_moved_routes_test);
    CPPUNIT_TEST(route_moved_back_reads_without_own_commit);
    CPPUNIT_TEST(route_moved_back_through_a_third_group_reads_without_commit);
    CPPUNIT_TEST(route_moved_within_a_transaction_reads_without_own_commit);
    CPPUNIT_TEST(route_removed_and_added_reads_without_own_commit);
    CPPUNIT_TEST(consistency_changed_and_changed_back_reads_without_commit);
    CPPUNIT_TEST(route_moved_through_many_groups_reads_without_own_commit);
    CPPUNIT_TEST(promotion_meanwhile_makes_own_commit_unreachable);
    CPPUNIT_TEST(moved_route_waits_for_a_commit_of_another_log);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t commit = 100;
    static constexpr std::uint64_t known = 60; ///< older, and covers the bound

public:
    void route_moved_back_reads_without_own_commit()
    {
        moving_route f;
        const auto client = f.start("own");
        f.write(client, commit);
        f.move_to("h");
        f.read(client, known);
        f.move_to("g");
        CPPUNIT_ASSERT(f.is_covered(f.read(client, known), commit));
    }

    void route_moved_back_through_a_third_group_reads_without_commit()
    {
        moving_route f;
        const auto client = f.start("own");
        f.write(client, commit);
        f.move_to("h");
        f.write(client, 500);
        f.move_to("i");
        f.read(client, known);
        f.move_to("h");
        CPPUNIT_ASSERT(f.is_covered(f.read(client, known), 500));
        f.move_to("g");
        CPPUNIT_ASSERT(f.is_covered(f.read(client, known), commit));
    }

    void route_moved_within_a_transaction_reads_without_own_commit()
    {
        moving_route f;
        const auto client = f.start("own");
        f.ask(client, f.make(statement_kind::begin));
        f.ask(client, f.make(statement_kind::write, "1"));
        f.subject.connection_opened(f.now, f.transport.opened.back().id,
                                    std::nullopt);
        f.succeed(transaction_state::open); // the begin
        f.move_to("h");
        f.succeed(transaction_state::open);
        f.ask(client, f.make(statement_kind::commit));
        f.succeed(transaction_state::none, commit);
        CPPUNIT_ASSERT(!f.transport.last_answer(client).error);
        f.move_to("g");
        CPPUNIT_ASSERT(f.is_covered(f.read(client, known), commit));
    }

    void route_removed_and_added_reads_without_own_commit()
    {
        // Sessions that are idle when their route is removed are ended; one
        // that runs a statement is ended after it. None comes back.
        moving_route f;
        const auto client = f.start("own");
        f.write(client, commit);
        const auto route = f.settings.routes.at("own");
        f.change([&] { f.settings.routes.erase("own"); });
        f.change([&] { f.settings.routes["own"] = route; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.transport.ended.count(client));
    }

    void consistency_changed_and_changed_back_reads_without_commit()
    {
        moving_route f;
        const auto client = f.start("own");
        for (const auto other :
             {read_consistency::bounded_staleness, read_consistency::primary})
        {
            auto& route = f.settings.routes.at("own");
            f.change([&] { route.consistency = other; });
            f.write(client, commit);
            f.change(
                [&]
                { route.consistency = read_consistency::read_your_writes; });
            CPPUNIT_ASSERT(f.is_covered(f.read(client, known), commit));
        }
    }

    void route_moved_through_many_groups_reads_without_own_commit()
    {
        moving_route f;
        const auto client = f.start("own");
        const std::vector<std::string> groups = {"g", "h", "i", "j", "k", "l"};
        CPPUNIT_ASSERT(groups.size() > commit_positions::most);
        for (const auto& group : groups)
        {
            f.move_to(group);
            f.write(client, commit);
        }
        for (const auto& group : groups)
        {
            f.move_to(group);
            CPPUNIT_ASSERT(f.is_covered(f.read(client, known), commit));
        }
    }

    void promotion_meanwhile_makes_own_commit_unreachable()
    {
        // The commit was rolled back by a promotion: reads ask for what is
        // left of that term and can go on at a replica.
        moving_route f;
        const auto client = f.start("own");
        f.write(client, commit);
        f.move_to("h");
        f.lead.set_base_term(proxy_fixture::first_term);
        f.lead.set_base_number(90);
        f.promote("q");
        f.servers["p"].data_centre = "a"; // reads prefer it, now a replica
        f.servers["q"].data_centre = "c";
        f.subject.use_servers(f.now, f.servers);
        f.move_to("g");
        f.report_position(95);
        CPPUNIT_ASSERT_EQUAL(std::string("p"), f.read(client, known));
        CPPUNIT_ASSERT(f.after && f.after->number == 95);
    }

    void moved_route_waits_for_a_commit_of_another_log()
    {
        moving_route f;
        const auto client = f.start("own");
        f.write(client, 1000000);
        f.move_to("h");
        const auto server = f.read(client, known);
        CPPUNIT_ASSERT_EQUAL(std::string("h-r"), server);
        CPPUNIT_ASSERT(f.after && f.after->number <= known);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_moved_routes_test);

} // namespace tanagerhoist

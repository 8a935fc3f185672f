#include "tanagerhoist/decision/node.hpp"

#include "standin/fleet.hpp"
#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/decision/authenticator.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace tanagerhoist
{
namespace
{

using standin::fleet;

constexpr milliseconds startup_time{3000};

proto::Settings small_settings()
{
    proto::Settings settings;
    auto& database = *settings.add_database();
    database.set_name("d");
    database.set_connections(6);
    database.set_slots(2);
    for (const std::string data_centre : {"a", "b", "c"})
    {
        auto& server = *settings.add_server();
        server.set_name("d-" + data_centre);
        server.set_database("d");
        server.set_data_centre(data_centre);
    }
    for (const std::string kind : {"read", "write"})
    {
        auto& route = *settings.add_route();
        route.set_name(kind);
        route.set_database("d");
        route.set_kind(kind);
        route.set_idempotent("yes");
        route.set_deadline_ms(4000);
    }
    auto& workspace = *settings.add_workspace();
    workspace.set_name("w");
    workspace.set_rate(100);
    workspace.set_burst(100);
    auto& key = *settings.add_key();
    key.set_name("k");
    key.set_workspace("w");
    key.set_salt("00");
    key.set_hash(key_hash(std::string(1, '\0'), "secret"));
    return settings;
}

std::unique_ptr<fleet> make_fleet()
{
    standin::fleet_options options;
    options.vms = {{"vm1", "a"}, {"vm2", "b"}, {"vm3", "c"}};
    options.settings = small_settings();
    auto made = std::make_unique<fleet>(std::move(options));
    made->run_for(startup_time);
    return made;
}

/// Number of answers by result code and by server.
struct answers
{
    std::map<std::uint32_t, std::size_t> codes;
    std::map<std::string, std::size_t> servers;
};

/// Sends `count` concurrent reads to `vm`. `into` must outlive the requests.
void send_concurrent_reads(fleet& f, const std::string& vm, int count,
                           answers& into)
{
    const auto caller = f.connect(vm);
    for (int i = 0; i < count; ++i)
    {
        proto::CallerRequest request;
        request.set_request_id(vm + "-" + std::to_string(i));
        request.set_route("read");
        request.set_statement("GET key");
        f.request(caller, "k.secret", request,
                  [&into](const proto::CallerReply* reply)
                  {
                      CPPUNIT_ASSERT(reply != nullptr);
                      ++into.codes[reply->code()];
                      ++into.servers[reply->served_by()];
                  });
    }
}

} // namespace

class node_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(node_test);
    CPPUNIT_TEST(drain_of_idle_node_in_healthy_fleet_finishes);
    CPPUNIT_TEST(drain_of_node_with_idle_connections_finishes);
    CPPUNIT_TEST(burst_within_rate_is_served_on_any_vm);
    CPPUNIT_TEST(concurrent_reads_do_not_use_primary);
    CPPUNIT_TEST_SUITE_END();

public:
    void drain_of_idle_node_in_healthy_fleet_finishes()
    {
        const auto f = make_fleet();
        f->drain("vm1");
        f->run_for(milliseconds(5000));
        CPPUNIT_ASSERT(!f->running("vm1"));
        CPPUNIT_ASSERT(f->violations().empty());
    }

    void drain_of_node_with_idle_connections_finishes()
    {
        const auto f = make_fleet();
        answers got;
        send_concurrent_reads(*f, "vm1", 4, got);
        f->run_for(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), got.codes[0]);
        f->drain("vm1");
        f->run_for(milliseconds(5000));
        CPPUNIT_ASSERT(!f->running("vm1"));
    }

    void burst_within_rate_is_served_on_any_vm()
    {
        const auto f = make_fleet();
        answers got;
        for (const auto& [vm, count] :
             {std::pair("vm1", 40), std::pair("vm2", 25), std::pair("vm3", 25)})
        {
            send_concurrent_reads(*f, vm, count, got);
            f->run_for(milliseconds(40));
        }
        f->run_for(milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(90), got.codes[0]);
    }

    void concurrent_reads_do_not_use_primary()
    {
        const auto f = make_fleet();
        answers got;
        send_concurrent_reads(*f, "vm1", 40, got);
        f->run_for(milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), got.codes[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), got.servers["d-a"]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_test);

} // namespace tanagerhoist

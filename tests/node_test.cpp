#include "tanagerhoist/decision/node.hpp"

#include "standin/fleet.hpp"
#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/decision/authenticator.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

namespace tanagerhoist
{
namespace
{

using standin::fleet;

constexpr milliseconds settling{3000};

proto::Settings small_settings()
{
    proto::Settings settings;
    auto& database = *settings.add_database();
    database.set_name("d");
    database.set_connections(6);
    database.set_slots(2);
    for (const std::string place : {"a", "b", "c"})
    {
        auto& server = *settings.add_server();
        server.set_name("d-" + place);
        server.set_database("d");
        server.set_data_centre(place);
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
    workspace.set_rate(20);
    workspace.set_burst(10);
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
    made->run_for(settling);
    return made;
}

} // namespace

class node_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(node_test);
    CPPUNIT_TEST(drain_of_idle_node_in_healthy_fleet_finishes);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_test);

} // namespace tanagerhoist

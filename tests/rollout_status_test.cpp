#include "tanagerhoist/settings/rollout_status.hpp"

#include "fake_platform.hpp"
#include "tanagerhoist/decision/settings_rows.hpp"
#include "tanagerhoist/settings/settings_diff.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{
namespace
{

/// Platform with two listed VMs and published version 3.
class fake_platform_client : public platform_client
{
public:
    fake_platform_client()
    {
        proto::SettingsHead head;
        head.set_version(3);
        head.set_publisher("ann");
        platform.rows[settings_head_row] = {1, head.SerializeAsString()};
    }

    void acknowledge(const std::string& vm, std::uint64_t version)
    {
        proto::VmStatusRow row;
        row.set_settings_version(version);
        platform.rows[vm_status_row(vm)] = {1, row.SerializeAsString()};
    }

    platform_answer call(const proto::PlatformCall& call) override
    {
        if (!call.has_list() || platform.down)
        {
            return {platform.handle(call), true};
        }
        proto::PlatformReply reply;
        for (const char* name : {"vm1", "vm2"})
        {
            reply.add_listed()->set_vm(name);
        }
        return {reply, true};
    }

    fake_platform platform;
};

} // namespace

class rollout_status_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rollout_status_test);
    CPPUNIT_TEST(outdated_and_unacknowledged_vms_lag);
    CPPUNIT_TEST(acknowledged_version_is_in_force);
    CPPUNIT_TEST(status_is_empty_without_platform);
    CPPUNIT_TEST(diff_names_section_key_and_values);
    CPPUNIT_TEST_SUITE_END();

public:
    void outdated_and_unacknowledged_vms_lag()
    {
        fake_platform_client client;
        client.acknowledge("vm1", 2);
        const auto status = read_rollout_status(client);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), status->lagging().size());
        const auto text = to_text(*status);
        for (const char* part :
             {"version 3 published by ann",
              "vm1 : LAGS, version 2 in force since 1970-01-01T00:00:00Z",
              "vm2 : LAGS, has acknowledged nothing",
              "NOT YET IN FORCE on 2 of 2"})
        {
            CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
        }
    }

    void acknowledged_version_is_in_force()
    {
        fake_platform_client client;
        client.acknowledge("vm1", 3);
        client.acknowledge("vm2", 4);
        CPPUNIT_ASSERT(read_rollout_status(client)->lagging().empty());
    }

    void status_is_empty_without_platform()
    {
        fake_platform_client client;
        client.platform.down = true;
        CPPUNIT_ASSERT(!read_rollout_status(client));
    }

    void diff_names_section_key_and_values()
    {
        proto::Settings before;
        before.add_workspace()->set_name("kept");
        before.mutable_workspace(0)->set_rate(10);
        before.add_key()->set_name("gone");
        proto::Settings after;
        after.add_route()->set_name("new");
        after.add_workspace()->set_name("kept");
        after.mutable_workspace(0)->set_rate(20);
        const std::vector<std::string> expected{
            "- [key gone]", "~ [workspace kept] rate: 10 -> 20",
            "+ [route new]"};
        CPPUNIT_ASSERT(expected == diff_settings(before, after));
        CPPUNIT_ASSERT(diff_settings(after, after).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_status_test);

} // namespace tanagerhoist

#include "standin/platform.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist::standin
{

namespace
{

proto::PlatformCall write_call(std::uint64_t expected, const std::string& value)
{
    proto::PlatformCall call;
    call.mutable_table_write()->set_row("head");
    call.mutable_table_write()->set_expected_version(expected);
    call.mutable_table_write()->set_value(value);
    return call;
}

proto::PlatformCall read_call()
{
    proto::PlatformCall call;
    call.mutable_table_read()->set_row("head");
    return call;
}

proto::PlatformCall list_call()
{
    proto::PlatformCall call;
    call.mutable_list();
    return call;
}

} // namespace

class platform_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_test);
    CPPUNIT_TEST(write_with_expected_version_increments_it);
    CPPUNIT_TEST(write_with_other_version_conflicts);
    CPPUNIT_TEST(write_with_lost_reply_takes_effect);
    CPPUNIT_TEST(write_while_down_has_no_effect);
    CPPUNIT_TEST(written_object_is_read_back);
    CPPUNIT_TEST(list_change_is_visible_after_lag);
    CPPUNIT_TEST_SUITE_END();

public:
    void write_with_expected_version_increments_it()
    {
        CPPUNIT_ASSERT(handle(read_call()).outcome() ==
                       proto::PLATFORM_NOT_FOUND);
        CPPUNIT_ASSERT(handle(write_call(0, "a")).version() == 1);
        CPPUNIT_ASSERT(handle(write_call(1, "b")).version() == 2);
        CPPUNIT_ASSERT(handle(read_call()).value() == "b");
    }

    void write_with_other_version_conflicts()
    {
        handle(write_call(0, "a"));
        for (const std::uint64_t other : {0, 2})
        {
            const auto reply = handle(write_call(other, "b"));
            CPPUNIT_ASSERT(reply.outcome() == proto::PLATFORM_CONFLICT);
            CPPUNIT_ASSERT(reply.version() == 1);
            CPPUNIT_ASSERT(reply.value() == "a");
        }
        CPPUNIT_ASSERT(handle(read_call()).value() == "a");
    }

    void write_with_lost_reply_takes_effect()
    {
        service_.lose_replies(1);
        CPPUNIT_ASSERT(!service_.handle(now_, write_call(0, "a")));
        CPPUNIT_ASSERT(handle(read_call()).value() == "a");
    }

    void write_while_down_has_no_effect()
    {
        service_.set_down(true);
        CPPUNIT_ASSERT(!service_.handle(now_, write_call(0, "a")));
        service_.set_down(false);
        CPPUNIT_ASSERT(handle(read_call()).outcome() ==
                       proto::PLATFORM_NOT_FOUND);
    }

    void written_object_is_read_back()
    {
        proto::PlatformCall write;
        write.mutable_object_write()->set_name("bundle");
        write.mutable_object_write()->set_value("content");
        proto::PlatformCall read;
        read.mutable_object_read()->set_name("bundle");
        CPPUNIT_ASSERT(handle(read).outcome() == proto::PLATFORM_NOT_FOUND);
        handle(write);
        CPPUNIT_ASSERT(handle(read).value() == "content");
    }

    void list_change_is_visible_after_lag()
    {
        proto::ListedVm vm;
        vm.set_vm("vm1");
        service_.list(now_, vm);
        service_.set_list_lag(milliseconds(50));
        service_.mark_leaving(now_, "vm1");
        service_.drop(now_ + milliseconds(1), "vm1");
        CPPUNIT_ASSERT(!handle(list_call()).listed(0).leaving());
        now_ += milliseconds(50);
        CPPUNIT_ASSERT(handle(list_call()).listed(0).leaving());
        now_ += milliseconds(1);
        CPPUNIT_ASSERT(handle(list_call()).listed().empty());
    }

private:
    proto::PlatformReply handle(const proto::PlatformCall& call)
    {
        return service_.handle(now_, call).value();
    }

    moment now_{};
    platform service_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_test);

} // namespace tanagerhoist::standin

#include "tanagerhoist/session/resource_parts.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class resource_parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(resource_parts_test);
    CPPUNIT_TEST(http_ports_get_a_small_part_of_the_descriptors);
    CPPUNIT_TEST(few_descriptors_leave_each_http_port_some_connections);
    CPPUNIT_TEST(state_at_servers_gets_a_sixteenth_of_the_memory);
    CPPUNIT_TEST_SUITE_END();

public:
    void http_ports_get_a_small_part_of_the_descriptors()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{512}, most_http_connections(65'536));
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, most_http_connections(1'279));
    }

    void few_descriptors_leave_each_http_port_some_connections()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, most_http_connections(1'024));
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, most_http_connections(64));
    }

    void state_at_servers_gets_a_sixteenth_of_the_memory()
    {
        constexpr std::size_t mebibyte = std::size_t{1} << 20U;
        CPPUNIT_ASSERT_EQUAL(2 * mebibyte,
                             most_state_at_servers(32 * mebibyte));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resource_parts_test);

} // namespace tanagerhoist

#include "tanagerhoist/adapter/http_responder.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// Leaves the process no free descriptor.
class no_free_descriptor
{
public:
    no_free_descriptor()
    {
        CPPUNIT_ASSERT_EQUAL(0, getrlimit(RLIMIT_NOFILE, &before_));
        const int lowest_free = open("/dev/null", O_RDONLY | O_CLOEXEC);
        CPPUNIT_ASSERT(lowest_free >= 0);
        close(lowest_free);
        auto limited = before_;
        limited.rlim_cur = static_cast<rlim_t>(lowest_free);
        CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &limited));
    }
    ~no_free_descriptor() { setrlimit(RLIMIT_NOFILE, &before_); }
    no_free_descriptor(const no_free_descriptor&) = delete;
    no_free_descriptor& operator=(const no_free_descriptor&) = delete;

private:
    rlimit before_{};
};

} // namespace

class http_responder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_responder_test);
    CPPUNIT_TEST(accept_that_fails_is_counted_with_its_cause);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Failed accepts were repeated, and neither counted nor logged.
    void accept_that_fails_is_counted_with_its_cause()
    {
        constexpr std::size_t most_connections = 8;
        asio::io_context context;
        http_responder responder(
            context, {asio::ip::make_address("127.0.0.1"), 0}, most_connections,
            [](const http_request&) { return http_answer{}; },
            [] { return moment(std::chrono::hours(1)); });
        tcp::socket client(context);
        client.connect(responder.local());
        const no_free_descriptor full;
        context.run_one();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             responder.failed_accepts().count());
        const auto cause =
            make_error_code(boost::system::errc::too_many_files_open);
        CPPUNIT_ASSERT_EQUAL(cause.message(),
                             responder.failed_accepts().last());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_responder_test);

} // namespace tanagerhoist

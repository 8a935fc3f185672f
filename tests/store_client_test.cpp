#include "platform/store_client.hpp"

#include "standin/store_service.hpp"
#include "tanagerhoist/adapter/fiber_loop.hpp"
#include "tests/scripted_http_server.hpp"

#include <boost/fiber/fiber.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;

constexpr milliseconds write_timeout{1000};

/// Runs `task` in a fiber with an event loop of its own.
void run_in_fiber(const std::function<void(asio::io_context&)>& task)
{
    std::thread thread(
        [&task]
        {
            asio::io_context context;
            const auto work = asio::make_work_guard(context);
            boost::fibers::fiber(boost::fibers::launch::post,
                                 [&]
                                 {
                                     task(context);
                                     context.stop();
                                 })
                .detach();
            run_fiber_loop(context);
        });
    thread.join();
}

platform::store_client make_client(asio::io_context& context,
                                   std::uint16_t port)
{
    return platform::store_client(context, "127.0.0.1", port, write_timeout,
                                  [] { return moment(); });
}

/// Requests of a read of a table from this key on.
std::vector<std::string> requests_of_read(const std::string& from)
{
    scripted_http_server server("\r\n\r\n", {http_text("{}")});
    run_in_fiber([&](asio::io_context& context)
                 { make_client(context, server.port()).read("op", from); });
    return server.requests();
}

} // namespace

class store_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_client_test);
    CPPUNIT_TEST(read_from_usual_key_names_it_as_it_is);
    CPPUNIT_TEST(read_from_key_with_any_bytes_is_one_request);
    CPPUNIT_TEST(page_from_key_with_any_bytes_begins_with_it);
    CPPUNIT_TEST_SUITE_END();

public:
    void read_from_usual_key_names_it_as_it_is()
    {
        check_target("evacuate/zone-1_a.b~c:d", "evacuate/zone-1_a.b~c:d");
    }

    /// The key of the last row of a page, which an operator may have chosen.
    void read_from_key_with_any_bytes_is_one_request()
    {
        check_target("a b&limit=1#x+y%41", "a%20b%26limit%3D1%23x%2By%2541");
        check_target("a\r\n\r\nPOST /api/rows-tx HTTP/1.1\r\n\r\n",
                     "a%0D%0A%0D%0APOST%20/api/rows-tx%20HTTP/1.1%0D%0A%0D%0A");
        check_target(std::string("\0\xc3\xa9", 3), "%00%C3%A9");
    }

    void page_from_key_with_any_bytes_begins_with_it()
    {
        const std::string key("b c&from=a\r\n%41+\0", 17);
        store_answer page;
        run_in_fiber(
            [&](asio::io_context& context)
            {
                standin::store_service store(
                    context, {asio::ip::address_v4::loopback(), 0},
                    milliseconds(0));
                auto client = make_client(context, store.local().port());
                store_transaction change;
                for (const auto& name :
                     {std::string("a"), key, std::string("z")})
                {
                    change.puts.push_back({"t", name, "value"});
                }
                client.write(change);
                page = client.read("t", key);
            });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, page.rows.size());
        CPPUNIT_ASSERT_EQUAL(key, page.rows.front().key);
    }

private:
    static void check_target(const std::string& from,
                             const std::string& expected)
    {
        const auto requests = requests_of_read(from);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
        const auto& text = requests.front();
        CPPUNIT_ASSERT_EQUAL(
            "GET /api/rows-get?table=op&part=&from=" + expected + " HTTP/1.1",
            text.substr(0, text.find("\r\n")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_client_test);

} // namespace tanagerhoist

#include "tanagerhoist/decision/connection_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace tanagerhoist
{

class connection_pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_pool_test);
    CPPUNIT_TEST(acquire_no_idle_opens_one);
    CPPUNIT_TEST(waiting_requests_open_ahead_to_limit);
    CPPUNIT_TEST(release_unclean_closes_at_once);
    CPPUNIT_TEST(release_clean_is_reused_last_first);
    CPPUNIT_TEST(limit_lowered_closes_idle_now_and_busy_on_release);
    CPPUNIT_TEST(server_leaving_is_drained);
    CPPUNIT_TEST(open_failures_back_off);
    CPPUNIT_TEST(idle_time_shrinks_to_floor);
    CPPUNIT_TEST(closed_while_busy_is_not_reused);
    CPPUNIT_TEST_SUITE_END();

    connection_pool pool_;
    outbox out_;
    moment now_;

    void use(const std::string& leaving, bool with_server = true)
    {
        proto::Settings settings;
        settings.add_database()->set_name("register");
        settings.mutable_database(0)->set_leaving(leaving);
        if (with_server)
        {
            settings.add_server()->set_name("s");
            settings.mutable_server(0)->set_database("register");
        }
        pool_.use_settings(settings, out_);
    }

    std::vector<std::uint64_t> opens()
    {
        std::vector<std::uint64_t> ids;
        for (const auto& action : out_.take_actions())
        {
            CPPUNIT_ASSERT(action.has_open_connection());
            ids.push_back(action.open_connection().connection());
        }
        return ids;
    }

    std::vector<std::uint64_t> closes()
    {
        std::vector<std::uint64_t> ids;
        for (const auto& action : out_.take_actions())
        {
            CPPUNIT_ASSERT(action.has_close_connection());
            ids.push_back(action.close_connection().connection());
        }
        return ids;
    }

    /// Opens connections 1 to `count` and leaves them idle.
    void open(std::uint64_t count)
    {
        use("no");
        pool_.limit("s", count, out_);
        pool_.waiting(now_, "s", count, out_);
        for (const std::uint64_t id : opens())
        {
            pool_.on_opened(now_, id);
        }
        pool_.waiting(now_, "s", 0, out_);
        CPPUNIT_ASSERT_EQUAL(count, pool_.open("s"));
    }

    using ids = std::vector<std::uint64_t>;

public:
    void acquire_no_idle_opens_one()
    {
        CPPUNIT_ASSERT(!pool_.acquire(now_, "s", out_));
        CPPUNIT_ASSERT(opens().empty());
        use("no");
        pool_.limit("s", 2, out_);
        CPPUNIT_ASSERT(!pool_.acquire(now_, "s", out_));
        CPPUNIT_ASSERT(!pool_.acquire(now_, "s", out_));
        CPPUNIT_ASSERT(opens() == ids{1});
        CPPUNIT_ASSERT(!pool_.acquire(now_, "s", out_));
        pool_.on_opened(now_, 1);
        CPPUNIT_ASSERT(pool_.acquire(now_, "s", out_) == 1U);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), pool_.busy("s"));
    }

    void waiting_requests_open_ahead_to_limit()
    {
        use("no");
        pool_.limit("s", 3, out_);
        pool_.waiting(now_, "s", 2, out_);
        CPPUNIT_ASSERT(opens() == (ids{1, 2}));
        pool_.waiting(now_, "s", 5, out_);
        CPPUNIT_ASSERT(opens() == ids{3});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), pool_.wanted("s"));
    }

    void release_unclean_closes_at_once()
    {
        open(1);
        pool_.acquire(now_, "s", out_);
        pool_.release(now_, 1, false, out_);
        CPPUNIT_ASSERT(closes() == ids{1});
        CPPUNIT_ASSERT(!pool_.acquire(now_, "s", out_));
        CPPUNIT_ASSERT(opens() == ids{2});
        pool_.on_opened(now_, 1);
        CPPUNIT_ASSERT(!pool_.acquire(now_, "s", out_));
    }

    void release_clean_is_reused_last_first()
    {
        open(2);
        CPPUNIT_ASSERT(pool_.acquire(now_, "s", out_) == 2U);
        CPPUNIT_ASSERT(pool_.acquire(now_, "s", out_) == 1U);
        pool_.release(now_, 2, true, out_);
        now_ += milliseconds(1);
        pool_.release(now_, 1, true, out_);
        pool_.release(now_, 1, true, out_);
        CPPUNIT_ASSERT(pool_.acquire(now_, "s", out_) == 1U);
        CPPUNIT_ASSERT(pool_.acquire(now_, "s", out_) == 2U);
    }

    void limit_lowered_closes_idle_now_and_busy_on_release()
    {
        open(3);
        pool_.acquire(now_, "s", out_);
        pool_.acquire(now_, "s", out_);
        pool_.limit("s", 1, out_);
        CPPUNIT_ASSERT(closes() == ids{1});
        pool_.release(now_, 3, true, out_);
        CPPUNIT_ASSERT(closes() == ids{3});
        pool_.release(now_, 2, true, out_);
        CPPUNIT_ASSERT(closes().empty());
    }

    void server_leaving_is_drained()
    {
        open(2);
        pool_.acquire(now_, "s", out_);
        use("yes");
        CPPUNIT_ASSERT(closes() == ids{1});
        CPPUNIT_ASSERT(!pool_.acquire(now_, "s", out_));
        pool_.release(now_, 2, true, out_);
        CPPUNIT_ASSERT(closes() == ids{2});
        use("no", false);
        CPPUNIT_ASSERT(!pool_.acquire(now_, "s", out_));
        CPPUNIT_ASSERT(opens().empty());
    }

    void open_failures_back_off()
    {
        use("no");
        pool_.limit("s", 2, out_);
        pool_.waiting(now_, "s", 2, out_);
        CPPUNIT_ASSERT(opens() == (ids{1, 2}));
        pool_.on_closed(now_, 1, out_);
        pool_.on_closed(now_, 2, out_);
        now_ += milliseconds(99);
        pool_.on_tick(now_, out_);
        CPPUNIT_ASSERT(opens().empty());
        now_ += milliseconds(1);
        pool_.on_tick(now_, out_);
        CPPUNIT_ASSERT(opens() == ids{3});
        pool_.on_opened(now_, 3);
        pool_.on_tick(now_, out_);
        CPPUNIT_ASSERT(opens() == ids{4});
    }

    void idle_time_shrinks_to_floor()
    {
        open(3);
        now_ += milliseconds(9'999);
        pool_.on_tick(now_, out_);
        CPPUNIT_ASSERT(closes().empty());
        now_ += milliseconds(1);
        pool_.on_tick(now_, out_);
        CPPUNIT_ASSERT(closes() == (ids{1, 2}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), pool_.open("s"));
    }

    void closed_while_busy_is_not_reused()
    {
        open(1);
        pool_.acquire(now_, "s", out_);
        pool_.on_closed(now_, 1, out_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), pool_.busy("s"));
        pool_.release(now_, 1, true, out_);
        CPPUNIT_ASSERT(!pool_.acquire(now_, "s", out_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_pool_test);

} // namespace tanagerhoist

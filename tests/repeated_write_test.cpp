#include "tanagerhoist/fleet/repeated_write.hpp"

#include "fake_row_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{
namespace
{

/// A store that may perform a write only when the next one has come.
class late_store : public row_store
{
public:
    explicit late_store(row_store& store) : store_(store) {}

    store_answer read(const std::string& table,
                      const std::string& from) override
    {
        return store_.read(table, from);
    }

    store_answer write(const store_transaction& change) override
    {
        ++writes;
        if (hold_next)
        {
            hold_next = false;
            held_ = change;
            return {};
        }
        if (held_is_first)
        {
            perform_held();
        }
        return store_.write(change);
    }

    store_answer watch(const std::string& table, std::uint64_t version,
                       milliseconds wait) override
    {
        return store_.watch(table, version, wait);
    }

    /// Performs the write that was held, if its conditions are met.
    store_result perform_held() { return store_.write(held_).result; }

    bool hold_next = false;
    bool held_is_first = false;
    int writes = 0;

private:
    row_store& store_;
    store_transaction held_;
};

struct repeating_writer
{
    store_answer write()
    {
        return write_until_answered(late,
                                    {{{"fleet", "db.g", "", 0, false}},
                                     {{"fleet", "db.g", "lead", 0, false}},
                                     {}},
                                    [this] { return --repeats >= 0; });
    }

    moment now{std::chrono::hours(1)};
    fake_row_store store{now};
    late_store late{store};
    int repeats = 5;
};

} // namespace

class repeated_write_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(repeated_write_test);
    CPPUNIT_TEST(answered_write_is_not_repeated);
    CPPUNIT_TEST(late_write_can_not_be_performed_after_the_answer);
    CPPUNIT_TEST(write_performed_before_its_repeat_is_done);
    CPPUNIT_TEST(conflict_with_another_write_is_told);
    CPPUNIT_TEST(refused_repeat_settles_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void answered_write_is_not_repeated()
    {
        repeating_writer f;
        CPPUNIT_ASSERT(f.write().result == store_result::done);
        CPPUNIT_ASSERT_EQUAL(1, f.late.writes);
        CPPUNIT_ASSERT(f.write().result == store_result::conflict);
        CPPUNIT_ASSERT_EQUAL(2, f.late.writes);
    }

    void late_write_can_not_be_performed_after_the_answer()
    {
        repeating_writer f;
        f.late.hold_next = true;
        CPPUNIT_ASSERT(f.write().result == store_result::done);
        CPPUNIT_ASSERT(f.late.perform_held() == store_result::conflict);
    }

    void write_performed_before_its_repeat_is_done()
    {
        repeating_writer f;
        f.late.hold_next = true;
        f.late.held_is_first = true;
        const auto answer = f.write();
        CPPUNIT_ASSERT(answer.result == store_result::done);
        const auto read = f.store.read("fleet", "");
        CPPUNIT_ASSERT_EQUAL(read.rows.front().version, answer.version);
    }

    void conflict_with_another_write_is_told()
    {
        repeating_writer f;
        f.store.write({{}, {{"fleet", "db.g", "other", 0, false}}, {}});
        f.late.hold_next = true;
        CPPUNIT_ASSERT(f.write().result == store_result::conflict);
    }

    void refused_repeat_settles_nothing()
    {
        repeating_writer f;
        f.late.hold_next = true;
        f.store.down = true;
        CPPUNIT_ASSERT(f.write().result == store_result::refused);
        CPPUNIT_ASSERT_EQUAL(6, f.late.writes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeated_write_test);

} // namespace tanagerhoist

#include "tanagerhoist/fleet/row_mirror.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class row_mirror_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(row_mirror_test);
    CPPUNIT_TEST(copy_that_is_behind_gets_what_changed);
    CPPUNIT_TEST(row_missing_from_a_whole_read_is_told_as_removed);
    CPPUNIT_TEST(copy_from_before_a_whole_read_can_not_be_brought_up);
    CPPUNIT_TEST(changes_after_a_gap_are_not_taken);
    CPPUNIT_TEST(repeated_and_overtaken_changes_do_nothing);
    CPPUNIT_TEST(empty_copy_tells_and_takes_nothing);
    CPPUNIT_TEST_SUITE_END();

    static store_row row(const std::string& key, std::uint64_t version,
                         bool removed = false)
    {
        return {"servers", key, "v" + std::to_string(version), version,
                removed};
    }

    static store_answer answer(std::uint64_t version,
                               std::vector<store_row> rows)
    {
        store_answer made;
        made.result = store_result::done;
        made.version = version;
        made.rows = std::move(rows);
        return made;
    }

    static row_mirror read_at_ten()
    {
        row_mirror made(true);
        made.take(answer(10, {row("a", 3), row("b", 7)}), true);
        return made;
    }

public:
    void copy_that_is_behind_gets_what_changed()
    {
        auto holder = read_at_ten();
        auto other = read_at_ten();
        holder.take(answer(14, {row("b", 12), row("a", 14, true)}), false);
        const auto changes = holder.since(other.version());
        CPPUNIT_ASSERT(changes);
        const auto changed =
            other.take_changes(other.version(), holder.version(), *changes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changed.size());
        CPPUNIT_ASSERT(changed[0].removed);
        CPPUNIT_ASSERT_EQUAL(std::string("v12"), changed[1].value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{14}, other.version());
        CPPUNIT_ASSERT(other.since(14)->empty());
    }

    void row_missing_from_a_whole_read_is_told_as_removed()
    {
        auto subject = read_at_ten();
        const auto changed = subject.take(answer(20, {row("a", 3)}), true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.size());
        CPPUNIT_ASSERT(changed[0].removed);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), changed[0].key);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, subject.newest());
        CPPUNIT_ASSERT(subject.take(answer(21, {row("a", 3)}), true).empty());
    }

    void copy_from_before_a_whole_read_can_not_be_brought_up()
    {
        // What came and went before the read is known to nobody here.
        auto subject = read_at_ten();
        CPPUNIT_ASSERT(!subject.since(9));
        CPPUNIT_ASSERT(subject.since(10));
    }

    void changes_after_a_gap_are_not_taken()
    {
        auto subject = read_at_ten();
        CPPUNIT_ASSERT(subject.take_changes(11, 15, {row("c", 15)}).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, subject.version());
    }

    void repeated_and_overtaken_changes_do_nothing()
    {
        auto subject = read_at_ten();
        subject.take_changes(10, 15, {row("b", 15)});
        CPPUNIT_ASSERT(subject.take_changes(10, 15, {row("b", 15)}).empty());
        CPPUNIT_ASSERT(subject.take_changes(10, 12, {row("b", 12)}).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, subject.newest());
    }

    void empty_copy_tells_and_takes_nothing()
    {
        row_mirror subject(true);
        CPPUNIT_ASSERT(!subject.since(0));
        CPPUNIT_ASSERT(subject.take_changes(0, 5, {row("a", 5)}).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(row_mirror_test);

} // namespace tanagerhoist

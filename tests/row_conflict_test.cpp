#include "tanagerhoist/fleet/row_conflict.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

class row_conflict_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(row_conflict_test);
    CPPUNIT_TEST(removed_row_that_the_conflict_omits_is_absent);
    CPPUNIT_TEST(matching_row_that_the_conflict_omits_keeps_its_version);
    CPPUNIT_TEST(matching_rows_in_the_conflict_explain_nothing);
    CPPUNIT_TEST(listed_row_has_the_listed_version);
    CPPUNIT_TEST_SUITE_END();

    static store_row row(const std::string& key, std::uint64_t version)
    {
        return {"t", key, "", version, false};
    }

    const store_row own_ = row("own", 5);
    const store_transaction change_{{own_, row("other", 7)}, {}, {}};

    std::uint64_t after(std::vector<store_row> listed) const
    {
        store_answer conflict;
        conflict.rows = std::move(listed);
        return version_after_conflict(change_, conflict, own_);
    }

public:
    void removed_row_that_the_conflict_omits_is_absent()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, after({}));
    }

    void matching_row_that_the_conflict_omits_keeps_its_version()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, after({row("other", 8)}));
    }

    void matching_rows_in_the_conflict_explain_nothing()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, after({row("other", 7)}));
    }

    void listed_row_has_the_listed_version()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                             after({row("own", 4), row("other", 8)}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(row_conflict_test);

} // namespace tanagerhoist

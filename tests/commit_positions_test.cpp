#include "tanagerhoist/session/commit_positions.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace tanagerhoist
{

class commit_positions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(commit_positions_test);
    CPPUNIT_TEST(session_without_commits_needs_none);
    CPPUNIT_TEST(commits_of_each_group_are_kept_apart);
    CPPUNIT_TEST(later_commit_replaces_the_earlier_one);
    CPPUNIT_TEST(group_beyond_the_bound_has_lost_commits);
    CPPUNIT_TEST_SUITE_END();

    static std::string group(std::size_t number)
    {
        return "g" + std::to_string(number);
    }

public:
    void session_without_commits_needs_none()
    {
        const commit_positions subject;
        CPPUNIT_ASSERT(!subject.in("g").position);
        CPPUNIT_ASSERT(!subject.in("g").is_lost);
    }

    void commits_of_each_group_are_kept_apart()
    {
        commit_positions subject;
        subject.add("g", {3, 100});
        subject.add("h", {1, 7});
        CPPUNIT_ASSERT((*subject.in("g").position == log_position{3, 100}));
        CPPUNIT_ASSERT((*subject.in("h").position == log_position{1, 7}));
        CPPUNIT_ASSERT(!subject.in("i").position);
        CPPUNIT_ASSERT(!subject.in("i").is_lost);
    }

    void later_commit_replaces_the_earlier_one()
    {
        commit_positions subject;
        subject.add("g", {3, 100});
        subject.add("g", {4, 90});
        CPPUNIT_ASSERT((*subject.in("g").position == log_position{4, 90}));
    }

    void group_beyond_the_bound_has_lost_commits()
    {
        commit_positions subject;
        for (std::size_t i = 0; i < commit_positions::most; ++i)
        {
            subject.add(group(i), {1, i});
        }
        subject.add(group(0), {1, 50}); // no more the oldest
        CPPUNIT_ASSERT(!subject.in("new").is_lost);
        subject.add("new", {1, 1});
        CPPUNIT_ASSERT(subject.in(group(0)).position);
        CPPUNIT_ASSERT(!subject.in(group(1)).position);
        CPPUNIT_ASSERT(subject.in(group(1)).is_lost);
        CPPUNIT_ASSERT(subject.in("never written to").is_lost);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(commit_positions_test);

} // namespace tanagerhoist

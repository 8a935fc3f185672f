#include "tanagerhoist/decision/share_ledger.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace tanagerhoist
{

/// Uses two ledgers that have no grant in the table row yet.
class share_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(share_ledger_test);
    CPPUNIT_TEST(duplicate_give_credits_once);
    CPPUNIT_TEST(lost_give_is_recovered_by_the_next);
    CPPUNIT_TEST(reordered_give_credits_nothing);
    CPPUNIT_TEST(give_without_own_grant_is_not_allowed);
    CPPUNIT_TEST(reset_ledger_holds_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void duplicate_give_credits_once()
    {
        const auto message = give(5, 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, receive(message).parts());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, receive(message).parts());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, to_.parts());
    }

    void lost_give_is_recovered_by_the_next()
    {
        give(5, 2);
        const auto credited = receive(give(3, 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, credited.parts());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, credited.tokens());
    }

    void reordered_give_credits_nothing()
    {
        const auto first = give(5, 2);
        receive(give(3, 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, receive(first).parts());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, to_.parts());
    }

    void give_without_own_grant_is_not_allowed()
    {
        proto::Incarnation other;
        other.set_number(2);
        CPPUNIT_ASSERT(!from_.may_give(0, other));
    }

    void reset_ledger_holds_nothing()
    {
        receive(give(5, 2));
        to_.reset();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, to_.parts());
        CPPUNIT_ASSERT(to_.is_unused());
    }

private:
    proto::SliceGive give(std::uint64_t parts, std::uint64_t tokens)
    {
        proto::Incarnation to;
        to.set_number(self_to_.number);
        proto::Slice slice;
        slice.set_parts(parts);
        slice.set_tokens(tokens);
        return from_.give(to, slice, 1);
    }

    proto::Slice receive(const proto::SliceGive& message)
    {
        proto::Incarnation from;
        from.set_number(self_from_.number);
        return to_.receive(from, message);
    }

    identity self_from_{"a", "dc", 1};
    identity self_to_{"b", "dc", 2};
    membership members_{self_to_, {}};
    share_ledger from_{self_from_, members_, "workspace/w", {}};
    share_ledger to_{self_to_, members_, "workspace/w", {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_ledger_test);

} // namespace tanagerhoist

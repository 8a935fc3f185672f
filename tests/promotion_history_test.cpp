#include "tanagerhoist/fleet/promotion_history.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <vector>

namespace tanagerhoist
{
namespace
{

/// A server's log as the terms of its entries, in order.
using plain_log = std::vector<std::uint64_t>;

log_position end_of(const plain_log& log)
{
    return log.empty() ? log_position{} : log_position{log.back(), log.size()};
}

/// Whether a log is the begin of another one.
bool is_begin(const plain_log& log, const plain_log& whole)
{
    return log.size() <= whole.size() &&
           std::equal(log.begin(), log.end(), whole.begin());
}

/// Servers that write, follow their primary, miss terms and are promoted.
class plain_group
{
public:
    explicit plain_group(unsigned seed) : random_(seed), logs_(servers)
    {
        lead_.set_term(1);
        logs_[0] = plain_log(10, 1);
    }

    void step()
    {
        const auto server = random_() % servers;
        switch (random_() % 4)
        {
        case 0:
        case 1:
            logs_[primary_].push_back(lead_.term());
            break;
        case 2:
            follow(server);
            break;
        default:
            promote(server);
            break;
        }
    }

    void check() const
    {
        const promotion_history subject(lead_);
        for (const auto& log : logs_)
        {
            CPPUNIT_ASSERT_EQUAL(!is_begin(log, logs_[primary_]),
                                 subject.has_diverged(end_of(log)));
        }
    }

private:
    static constexpr std::size_t servers = 4;
    static constexpr std::uint64_t known_terms = promotion_history::most;

    /// A server takes over a part of the primary's log, rolling its own back.
    void follow(std::size_t server)
    {
        const auto& source = logs_[primary_];
        auto& log = logs_[server];
        if (!is_begin(log, source))
        {
            const auto differs = std::mismatch(
                log.begin(),
                log.begin() + static_cast<plain_log::difference_type>(
                                  std::min(log.size(), source.size())),
                source.begin());
            log.erase(differs.first, log.end());
        }
        if (log.size() < source.size())
        {
            const auto more = 1 + random_() % (source.size() - log.size());
            const auto from =
                source.begin() +
                static_cast<plain_log::difference_type>(log.size());
            log.insert(log.end(), from,
                       from + static_cast<plain_log::difference_type>(more));
        }
    }

    void promote(std::size_t server)
    {
        const bool row_forgets = lead_.term() >= known_terms;
        if (logs_[server].empty() || row_forgets)
        {
            return;
        }
        primary_ = server;
        lead_.set_term(lead_.term() + 1);
        promotion_history::add(lead_, lead_.term(), end_of(logs_[server]));
    }

    std::mt19937 random_;
    std::vector<plain_log> logs_;
    std::size_t primary_ = 0;
    proto::GroupLead lead_;
};

} // namespace

class promotion_history_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(promotion_history_test);
    CPPUNIT_TEST(log_beyond_the_base_of_a_later_term_has_diverged);
    CPPUNIT_TEST(log_that_missed_terms_is_compared_with_each_base);
    CPPUNIT_TEST(promotion_that_the_new_primary_missed_cuts_nothing_off);
    CPPUNIT_TEST(row_of_an_earlier_version_tells_its_last_promotion);
    CPPUNIT_TEST(promotion_without_a_known_base_is_not_kept);
    CPPUNIT_TEST(row_keeps_the_latest_promotions);
    CPPUNIT_TEST(random_logs_that_left_the_primary_s_are_taken_for_its_own);
    CPPUNIT_TEST_SUITE_END();

public:
    void log_beyond_the_base_of_a_later_term_has_diverged()
    {
        proto::GroupLead lead;
        promotion_history::add(lead, 2, {1, 95});
        const promotion_history subject(lead);
        CPPUNIT_ASSERT(subject.has_diverged({1, 96}));
        CPPUNIT_ASSERT(!subject.has_diverged({1, 95}));
        CPPUNIT_ASSERT(!subject.has_diverged({2, 96}));
        CPPUNIT_ASSERT(!subject.has_diverged({}));
    }

    void log_that_missed_terms_is_compared_with_each_base()
    {
        proto::GroupLead lead;
        promotion_history::add(lead, 2, {1, 95});
        promotion_history::add(lead, 3, {2, 120});
        promotion_history::add(lead, 5, {3, 140});
        const promotion_history subject(lead);
        CPPUNIT_ASSERT(subject.has_diverged({1, 100}));
        CPPUNIT_ASSERT(subject.has_diverged({2, 130}));
        CPPUNIT_ASSERT(subject.has_diverged({3, 141}));
        CPPUNIT_ASSERT(!subject.has_diverged({1, 95}));
        CPPUNIT_ASSERT(!subject.has_diverged({2, 120}));
        CPPUNIT_ASSERT(!subject.has_diverged({5, 141}));
    }

    void promotion_that_the_new_primary_missed_cuts_nothing_off()
    {
        proto::GroupLead lead;
        promotion_history::add(lead, 2, {1, 95});
        promotion_history::add(lead, 3, {1, 100}); // of the old primary again
        const promotion_history subject(lead);
        CPPUNIT_ASSERT(!subject.has_diverged({1, 100}));
        CPPUNIT_ASSERT(subject.has_diverged({2, 96}));
    }

    void row_of_an_earlier_version_tells_its_last_promotion()
    {
        proto::GroupLead lead;
        lead.set_term(2);
        lead.set_base_term(1);
        lead.set_base_number(95);
        CPPUNIT_ASSERT(promotion_history(lead).has_diverged({1, 96}));
        lead.set_base_term(0);
        lead.set_base_number(0);
        CPPUNIT_ASSERT(!promotion_history(lead).has_diverged({1, 96}));
    }

    void promotion_without_a_known_base_is_not_kept()
    {
        proto::GroupLead lead;
        promotion_history::add(lead, 2, {2, 50});
        promotion_history::add(lead, 2, {});
        CPPUNIT_ASSERT_EQUAL(0, lead.promotions_size());
        promotion_history::add(lead, 2, {1, 40});
        promotion_history::add(lead, 2, {1, 50});
        CPPUNIT_ASSERT_EQUAL(1, lead.promotions_size());
        CPPUNIT_ASSERT(promotion_history(lead).has_diverged({1, 45}));
    }

    void row_keeps_the_latest_promotions()
    {
        proto::GroupLead lead;
        for (std::uint64_t term = 2; term < 30; ++term)
        {
            promotion_history::add(lead, term, {term - 1, term * 10});
        }
        CPPUNIT_ASSERT_EQUAL(promotion_history::most, lead.promotions_size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{29},
                             lead.promotions().rbegin()->term());
    }

    void random_logs_that_left_the_primary_s_are_taken_for_its_own()
    {
        constexpr unsigned seeds = 300;
        constexpr int steps = 60;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            plain_group group(seed);
            for (int i = 0; i < steps; ++i)
            {
                group.step();
                group.check();
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(promotion_history_test);

} // namespace tanagerhoist

#include "standin/database_group.hpp"
#include "tanagerhoist/core/log_point.hpp"
#include "tanagerhoist/decision/promotion.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{

class promotion_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(promotion_test);
    CPPUNIT_TEST(primary_dead_highest_log_promoted);
    CPPUNIT_TEST(suspect_alive_and_ahead_spared);
    CPPUNIT_TEST(only_majority_includes_suspect_ahead_promoted);
    CPPUNIT_TEST(majority_unreachable_nothing_promoted);
    CPPUNIT_TEST(seal_reply_lost_repeated_and_won);
    CPPUNIT_TEST(promote_reply_lost_same_server_asked_again);
    CPPUNIT_TEST(two_promoters_one_leads);
    CPPUNIT_TEST(higher_seal_met_next_round_is_higher);
    CPPUNIT_TEST(frozen_between_seal_and_promote_stops);
    CPPUNIT_TEST(abandoned_promotion_term_never_made_again);
    CPPUNIT_TEST_SUITE_END();

    using group = standin::database_group;

    const std::vector<std::string> names_{"a", "b", "c"};
    std::unique_ptr<group> group_;
    outbox out_;
    identity self_{"vm-1", "x", 5};
    identity peer_{"vm-2", "x", 6};
    term_source terms_{self_};
    term_source peer_terms_{peer_};
    std::vector<proto::PrimaryBelief> won_;
    std::set<std::string> unreachable_;
    std::map<std::string, int> replies_to_lose_;
    int now_ = 10;

    moment at() const { return moment(milliseconds(now_)); }

    std::unique_ptr<promotion> make(term_source& terms, unsigned rank = 0)
    {
        promotion_task task;
        task.database = "ledger";
        task.servers = names_;
        task.suspect = "a";
        task.seen_term = 1;
        task.rank = rank;
        return std::make_unique<promotion>(
            task, promotion_options(), terms,
            [this](moment, const proto::PrimaryBelief& belief, outbox&)
            { won_.push_back(belief); });
    }

    void write(const std::string& server)
    {
        proto::DatabaseCall call;
        call.mutable_execute()->set_kind(proto::STATEMENT_WRITE);
        call.mutable_execute()->set_statement("APPEND k v");
        group_->handle(at(), server, 1, call);
    }

    /// Handles the calls in the outbox, and those that their replies cause.
    void serve(std::size_t limit = 100)
    {
        for (std::size_t served = 0; served < limit;)
        {
            const auto actions = out_.take_actions();
            if (actions.empty())
            {
                return;
            }
            for (const auto& action : actions)
            {
                ++served;
                serve_one(action.call_database());
            }
        }
    }

    void serve_one(const proto::CallDatabase& call)
    {
        const auto& server = call.server();
        std::optional<proto::DatabaseReply> reply;
        if (unreachable_.count(server) == 0)
        {
            reply = group_->handle(at(), server, 0, call.call());
        }
        auto& to_lose = replies_to_lose_[server];
        const bool lost = !reply || to_lose > 0;
        to_lose -= to_lose > 0;
        if (auto handler = out_.take_database(call.tag()))
        {
            handler(at(), lost ? nullptr : &*reply, true);
        }
    }

    void step(promotion& each, int ms)
    {
        now_ += ms;
        each.on_tick(at(), out_);
        serve();
    }

    void expect_won(const std::string& server)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, won_.size());
        CPPUNIT_ASSERT_EQUAL(server, won_[0].server());
        CPPUNIT_ASSERT(group_->server(server).primary());
        CPPUNIT_ASSERT_EQUAL(won_[0].term(),
                             group_->server(server).sealed_term());
    }

public:
    void setUp() override
    {
        group_ = std::make_unique<group>(moment(), names_);
        group_->advance(at());
    }

    void primary_dead_highest_log_promoted()
    {
        group_->cut("a", "b");
        write("a");
        group_->advance(at());
        group_->kill(at(), "a");
        auto each = make(terms_);
        each->start(at(), out_);
        serve();
        expect_won("c");
    }

    void suspect_alive_and_ahead_spared()
    {
        group_->isolate("a");
        write("a");
        auto each = make(terms_);
        each->start(at(), out_);
        serve();
        expect_won("b");
    }

    void only_majority_includes_suspect_ahead_promoted()
    {
        group_->cut("a", "b");
        write("a");
        group_->advance(at());
        group_->kill(at(), "c");
        auto each = make(terms_);
        each->start(at(), out_);
        serve();
        CPPUNIT_ASSERT(won_.empty());
        step(*each, 101);
        expect_won("a");
    }

    void majority_unreachable_nothing_promoted()
    {
        unreachable_ = {"a", "b"};
        auto each = make(terms_);
        each->start(at(), out_);
        serve();
        for (int i = 0; i < 20; ++i)
        {
            step(*each, 60);
        }
        CPPUNIT_ASSERT(won_.empty());
        CPPUNIT_ASSERT(!group_->server("c").primary());
    }

    void seal_reply_lost_repeated_and_won()
    {
        group_->kill(at(), "a");
        replies_to_lose_ = {{"b", 1}};
        auto each = make(terms_);
        each->start(at(), out_);
        serve();
        CPPUNIT_ASSERT(won_.empty());
        const auto term = each->term();
        step(*each, 60);
        CPPUNIT_ASSERT_EQUAL(term, won_.at(0).term());
    }

    void promote_reply_lost_same_server_asked_again()
    {
        group_->kill(at(), "a");
        auto each = make(terms_);
        each->start(at(), out_);
        for (const auto& action : out_.take_actions())
        {
            serve_one(action.call_database());
        }
        replies_to_lose_ = {{"b", 1}};
        serve();
        expect_won("b");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                             group_->server("b").log().size());
    }

    void two_promoters_one_leads()
    {
        group_->kill(at(), "a");
        auto one = make(terms_);
        auto other = make(peer_terms_, 1);
        one->start(at(), out_);
        other->start(at(), out_);
        serve();
        for (int i = 0; i < 20; ++i)
        {
            step(*one, 20);
            step(*other, 0);
        }
        std::set<std::uint64_t> terms;
        for (const auto& belief : won_)
        {
            CPPUNIT_ASSERT(terms.insert(belief.term()).second);
        }
        CPPUNIT_ASSERT(!won_.empty());
        const bool b = group_->server("b").primary();
        const bool c = group_->server("c").primary();
        CPPUNIT_ASSERT(b != c);
    }

    void higher_seal_met_next_round_is_higher()
    {
        proto::DatabaseCall seal;
        seal.mutable_seal()->set_term(make_term(40, 9));
        group_->handle(at(), "b", 0, seal);
        group_->kill(at(), "a");
        auto each = make(terms_);
        each->start(at(), out_);
        serve();
        CPPUNIT_ASSERT(won_.empty());
        step(*each, 70);
        CPPUNIT_ASSERT_EQUAL(make_term(41, 5), won_.at(0).term());
    }

    void frozen_between_seal_and_promote_stops()
    {
        group_->kill(at(), "a");
        auto each = make(terms_);
        each->start(at(), out_);
        now_ += 5000;
        serve();
        CPPUNIT_ASSERT(each->current() == promotion::state::abandoned);
        CPPUNIT_ASSERT(won_.empty());
    }

    void abandoned_promotion_term_never_made_again()
    {
        auto first = make(terms_);
        first->start(at(), out_);
        const auto term = first->term();
        first->abandon();
        first->close(out_);
        auto second = make(terms_);
        second->start(at(), out_);
        CPPUNIT_ASSERT(second->term() > term);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(promotion_test);

} // namespace tanagerhoist

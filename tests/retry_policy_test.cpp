#include "tanagerhoist/decision/retry_policy.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <vector>

namespace tanagerhoist
{

class retry_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_policy_test);
    CPPUNIT_TEST(after_all_results_not_run_is_provable);
    CPPUNIT_TEST(after_all_results_code_matches_step);
    CPPUNIT_TEST(after_all_results_unsafe_repeat_never_made);
    CPPUNIT_TEST(after_rows_decide_as_documented);
    CPPUNIT_TEST(after_deadline_or_attempts_spent_answers);
    CPPUNIT_TEST_SUITE_END();

    using outcomes = std::vector<std::optional<proto::DatabaseOutcome>>;

    static const outcomes& all_outcomes()
    {
        static const outcomes all = {std::nullopt,
                                     proto::DATABASE_OK,
                                     proto::DATABASE_NOT_PRIMARY,
                                     proto::DATABASE_SEALED,
                                     proto::DATABASE_STATEMENT_ERROR,
                                     proto::DATABASE_DUPLICATE,
                                     proto::DATABASE_NOT_HELD,
                                     proto::DATABASE_NO_TRANSACTION,
                                     static_cast<proto::DatabaseOutcome>(99)};
        return all;
    }

    /// All combinations of inputs; each flag is one bit of `flags`.
    static std::vector<attempt_result> all_results()
    {
        std::vector<attempt_result> all;
        for (const auto& answer : all_outcomes())
        {
            for (int step = 0; step < proto::TransactionStep_ARRAYSIZE; ++step)
            {
                for (unsigned flags = 0; flags < 128; ++flags)
                {
                    attempt_result end;
                    end.kind = static_cast<proto::StatementKind>(flags & 1U);
                    end.step = static_cast<proto::TransactionStep>(step);
                    end.idempotent = (flags & 2U) != 0;
                    end.has_request_id = (flags & 4U) != 0;
                    end.sent = (flags & 8U) != 0 || answer.has_value();
                    end.answer = answer;
                    end.may_have_run_before = (flags & 16U) != 0;
                    end.time_left = (flags & 32U) != 0;
                    end.attempts = (flags & 64U) != 0 ? 16 : 1;
                    all.push_back(end);
                }
            }
        }
        return all;
    }

    /// Whether this attempt or an earlier one may have a lasting effect.
    static bool may_have_effect(const attempt_result& end)
    {
        const bool lasting = end.step == proto::TRANSACTION_COMMIT ||
                             (end.step == proto::TRANSACTION_NONE &&
                              end.kind == proto::STATEMENT_WRITE);
        const bool refused = end.answer == proto::DATABASE_NOT_PRIMARY ||
                             end.answer == proto::DATABASE_SEALED ||
                             end.answer == proto::DATABASE_STATEMENT_ERROR ||
                             end.answer == proto::DATABASE_NOT_HELD ||
                             end.answer == proto::DATABASE_NO_TRANSACTION;
        return lasting && (end.may_have_run_before || (end.sent && !refused));
    }

    static std::string describe(const attempt_result& end)
    {
        std::ostringstream text;
        text << "kind " << end.kind << " step " << end.step << " answer "
             << (end.answer ? static_cast<int>(*end.answer) : -1) << " sent "
             << end.sent << " before " << end.may_have_run_before;
        return text.str();
    }

    static attempt_result write(std::optional<proto::DatabaseOutcome> answer,
                                bool sent)
    {
        attempt_result end;
        end.kind = proto::STATEMENT_WRITE;
        end.answer = answer;
        end.sent = sent;
        return end;
    }

public:
    void after_all_results_not_run_is_provable()
    {
        for (const auto& end : all_results())
        {
            const auto decision = retry_policy().after(end);
            const bool claims = decision.step == next_step::answer_not_run ||
                                decision.step == next_step::answer_caller_error;
            CPPUNIT_ASSERT_MESSAGE(describe(end),
                                   !claims || !may_have_effect(end));
            CPPUNIT_ASSERT_MESSAGE(describe(end), !may_have_effect(end) ||
                                                      decision.may_have_run);
        }
    }

    void after_all_results_code_matches_step()
    {
        for (const auto& end : all_results())
        {
            const auto decision = retry_policy().after(end);
            const outcome promised = info(decision.code).outcome;
            const bool matches =
                decision.step == next_step::answer_not_run
                    ? promised == outcome::not_run
                : decision.step == next_step::answer_unknown
                    ? promised == outcome::unknown
                : decision.step == next_step::answer_caller_error
                    ? promised == outcome::caller_error
                    : promised == outcome::served;
            CPPUNIT_ASSERT_MESSAGE(describe(end), matches);
        }
    }

    void after_all_results_unsafe_repeat_never_made()
    {
        retry_policy_options options;
        options.database_deduplicates = false;
        for (const auto& end : all_results())
        {
            const bool in_open_transaction =
                end.step != proto::TRANSACTION_NONE &&
                end.step != proto::TRANSACTION_BEGIN;
            for (const bool deduplicates : {false, true})
            {
                options.database_deduplicates = deduplicates;
                const auto decision = retry_policy(options).after(end);
                const bool safe = end.idempotent || !may_have_effect(end) ||
                                  (deduplicates && end.has_request_id);
                CPPUNIT_ASSERT_MESSAGE(
                    describe(end),
                    decision.step != next_step::retry_elsewhere ||
                        (safe && !in_open_transaction && end.time_left &&
                         end.attempts < 16));
            }
        }
    }

    void after_rows_decide_as_documented()
    {
        struct row
        {
            std::optional<proto::DatabaseOutcome> answer;
            bool sent;
            next_step plain; ///< not idempotent, no request id
            next_step with_id;
        };
        const row rows[] = {
            {std::nullopt, false, next_step::retry_elsewhere,
             next_step::retry_elsewhere},
            {std::nullopt, true, next_step::answer_unknown,
             next_step::retry_elsewhere},
            {proto::DATABASE_OK, true, next_step::answer_served,
             next_step::answer_served},
            {proto::DATABASE_NOT_PRIMARY, true, next_step::retry_elsewhere,
             next_step::retry_elsewhere},
            {proto::DATABASE_SEALED, true, next_step::retry_elsewhere,
             next_step::retry_elsewhere},
            {proto::DATABASE_STATEMENT_ERROR, true,
             next_step::answer_caller_error, next_step::answer_caller_error},
            {proto::DATABASE_DUPLICATE, true, next_step::answer_served,
             next_step::answer_served},
            {proto::DATABASE_NO_TRANSACTION, true, next_step::answer_not_run,
             next_step::answer_not_run}};
        for (const row& each : rows)
        {
            attempt_result end = write(each.answer, each.sent);
            CPPUNIT_ASSERT(retry_policy().after(end).step == each.plain);
            end.has_request_id = true;
            CPPUNIT_ASSERT(retry_policy().after(end).step == each.with_id);
        }
    }

    void after_deadline_or_attempts_spent_answers()
    {
        attempt_result end = write(proto::DATABASE_NOT_PRIMARY, true);
        end.time_left = false;
        CPPUNIT_ASSERT(retry_policy().after(end).code ==
                       result_code::no_primary);
        end.may_have_run_before = true;
        CPPUNIT_ASSERT(retry_policy().after(end).code ==
                       result_code::outcome_unknown);
        end = attempt_result();
        end.answer = proto::DATABASE_NOT_HELD;
        end.attempts = 16;
        CPPUNIT_ASSERT(retry_policy().after(end).code ==
                       result_code::no_fresh_server);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_policy_test);

} // namespace tanagerhoist

#include "tanagerhoist/decision/retry_policy.hpp"

namespace tanagerhoist
{
namespace
{

/// What the result of an attempt proves about its effect.
enum class attempt_effect
{
    ran,
    not_run,
    may_have_run,
    rejected
};

struct answer_row
{
    proto::DatabaseOutcome answer;
    attempt_effect effect;
    bool retriable;      ///< another server may answer differently
    result_code refusal; ///< result code if it is not retried
};

constexpr answer_row answer_table[] = {
    {proto::DATABASE_OK, attempt_effect::ran, false, result_code::ok},
    {proto::DATABASE_NOT_PRIMARY, attempt_effect::not_run, true,
     result_code::no_primary},
    {proto::DATABASE_SEALED, attempt_effect::not_run, true,
     result_code::no_primary},
    {proto::DATABASE_STATEMENT_ERROR, attempt_effect::rejected, false,
     result_code::statement_rejected},
    {proto::DATABASE_DUPLICATE, attempt_effect::ran, false, result_code::ok},
    {proto::DATABASE_NOT_HELD, attempt_effect::not_run, true,
     result_code::no_fresh_server},
    {proto::DATABASE_NO_TRANSACTION, attempt_effect::not_run, false,
     result_code::transaction_aborted},
};

/// Rows for attempts without a reply or with an unknown outcome.
constexpr answer_row not_sent = {proto::DATABASE_OK, attempt_effect::not_run,
                                 true, result_code::connection_unavailable};
constexpr answer_row lost = {proto::DATABASE_OK, attempt_effect::may_have_run,
                             true, result_code::connection_unavailable};

answer_row row_of(const attempt_result& end)
{
    if (end.answer)
    {
        // Reads are not deduplicated, so DATABASE_DUPLICATE is no valid reply
        // to one.
        const bool meaningless = *end.answer == proto::DATABASE_DUPLICATE &&
                                 end.kind == proto::STATEMENT_READ &&
                                 end.step != proto::TRANSACTION_COMMIT;
        for (const answer_row& row : answer_table)
        {
            if (row.answer == *end.answer && !meaningless)
            {
                return row;
            }
        }
        return lost;
    }
    return end.sent ? lost : not_sent;
}

/// Whether the statement belongs to an open transaction, which is bound to one
/// connection.
bool in_open_transaction(proto::TransactionStep step)
{
    return step != proto::TRANSACTION_NONE && step != proto::TRANSACTION_BEGIN;
}

/// Whether an attempt that was sent can have a lasting effect. A transaction
/// without a commit is rolled back when its connection ends.
bool has_effect(const attempt_result& end)
{
    return end.step == proto::TRANSACTION_COMMIT ||
           (end.step == proto::TRANSACTION_NONE &&
            end.kind != proto::STATEMENT_READ);
}

} // namespace

retry_decision retry_policy::after(const attempt_result& end) const
{
    const answer_row row = row_of(end);
    if (row.effect == attempt_effect::ran)
    {
        return {next_step::answer_served, result_code::ok, true};
    }
    const bool may_have_run =
        has_effect(end) &&
        (end.may_have_run_before || row.effect == attempt_effect::may_have_run);
    const bool allowed = !may_have_run || may_repeat(end);
    if (row.retriable && allowed && !in_open_transaction(end.step) &&
        end.time_left && end.attempts < options_.max_attempts)
    {
        return {next_step::retry_elsewhere, result_code::ok, may_have_run};
    }
    if (may_have_run)
    {
        return {next_step::answer_unknown, result_code::outcome_unknown, true};
    }
    if (row.effect == attempt_effect::rejected)
    {
        return {next_step::answer_caller_error, row.refusal, false};
    }
    return {next_step::answer_not_run,
            in_open_transaction(end.step) ? result_code::transaction_aborted
                                          : row.refusal,
            false};
}

bool retry_policy::may_repeat(const attempt_result& end) const
{
    return end.idempotent ||
           (end.has_request_id && options_.database_deduplicates);
}

} // namespace tanagerhoist

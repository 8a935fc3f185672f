#ifndef TANAGERHOIST_DECISION_RETRY_POLICY_HPP
#define TANAGERHOIST_DECISION_RETRY_POLICY_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/result_code.hpp"

#include <cstdint>
#include <optional>

namespace tanagerhoist
{

struct retry_policy_options
{
    /// Attempts at one request, the first included.
    std::uint32_t max_attempts = 16;

    /// The databases hold the ids of the requests that ran in their replicated
    /// logs and answer DATABASE_DUPLICATE to a repeat, for longer than any
    /// request is retried.
    bool database_deduplicates = true;
};

/// What is known when an attempt at a request has ended.
struct attempt_result
{
    proto::StatementKind kind = proto::STATEMENT_READ;
    proto::TransactionStep step = proto::TRANSACTION_NONE;
    bool idempotent = false;     ///< by its route
    bool has_request_id = false; ///< the database was given one
    bool sent = true;            ///< bytes of it may have reached the server
    std::optional<proto::DatabaseOutcome> answer; ///< empty: none came
    bool may_have_run_before = false;             ///< by an earlier attempt
    std::uint32_t attempts = 1; ///< made so far, this one included
    bool time_left = true;      ///< the deadline allows another
};

/// What to do next.
enum class next_step
{
    answer_served,
    answer_not_run,      ///< provably had no effect and never will
    answer_unknown,      ///< may have had an effect, now or later
    answer_caller_error, ///< had no effect; repeating it is useless
    retry_elsewhere
};

/// A step, the code that an answer carries (ok for a retry), and whether the
/// request may have run so far, to go into the next attempt's end.
struct retry_decision
{
    next_step step;
    result_code code;
    bool may_have_run;
};

/// Decides what follows on the end of an attempt. "Not run" is answered only
/// if no attempt was sent without a positive refusal by the database.
///
/// A write with an unknown outcome is sent again only if its route is
/// idempotent, or if it carries a request id that the databases deduplicate.
/// The id lives in the replicated log, so either the first entry survives a
/// promotion and the repeat meets it, or it was lost and the repeat is the
/// first; a first one that is late bears its old term and is refused, or meets
/// the repeat's entry.
class retry_policy
{
public:
    explicit retry_policy(retry_policy_options options = {}) : options_(options)
    {
    }

    retry_decision after(const attempt_result& end) const;

private:
    bool may_repeat(const attempt_result& end) const;

    retry_policy_options options_;
};

} // namespace tanagerhoist

#endif

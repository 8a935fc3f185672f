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
    /// Maximum number of attempts at one request, the first included.
    std::uint32_t max_attempts = 16;

    /// The databases store the ids of executed requests in their replicated
    /// logs and answer DATABASE_DUPLICATE to a repeat, for longer than any
    /// request is retried.
    bool database_deduplicates = true;
};

/// Result of an attempt and the properties of its request.
struct attempt_result
{
    proto::StatementKind kind = proto::STATEMENT_READ;
    proto::TransactionStep step = proto::TRANSACTION_NONE;
    bool idempotent = false;     ///< according to its route
    bool has_request_id = false; ///< was sent to the database
    bool sent = true;            ///< may have reached the server
    std::optional<proto::DatabaseOutcome> answer; ///< empty: no reply
    bool may_have_run_before = false;             ///< in an earlier attempt
    std::uint32_t attempts = 1; ///< made so far, this one included
    bool time_left = true;      ///< the deadline allows another
};

/// Next step for a request after an attempt.
enum class next_step
{
    answer_served,
    answer_not_run,      ///< provably has no effect, now or later
    answer_unknown,      ///< may have an effect, now or later
    answer_caller_error, ///< had no effect; a repeat would fail again
    retry_elsewhere
};

/// Next step, the result code of the answer (ok for a retry), and whether the
/// request may have run so far, for `may_have_run_before` of the next attempt.
struct retry_decision
{
    next_step step;
    result_code code;
    bool may_have_run;
};

/// Decides whether a request is retried or answered after an attempt. "Not run"
/// is answered only if every attempt was either not sent or explicitly refused
/// by the database.
///
/// A write with an unknown outcome is sent again only if its route is
/// idempotent, or if it carries a request id that the databases deduplicate.
/// The id is part of the replicated log: if the first attempt's entry survives
/// a promotion, the repeat is recognized as a duplicate; if it was lost, the
/// repeat takes its place. A first attempt that arrives late carries its old
/// term and is refused, or is recognized as a duplicate of the repeat.
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

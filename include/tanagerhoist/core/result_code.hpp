#ifndef TANAGERHOIST_CORE_RESULT_CODE_HPP
#define TANAGERHOIST_CORE_RESULT_CODE_HPP

#include <cstdint>
#include <string_view>

namespace tanagerhoist
{

/// What a result code guarantees about the effect of the request.
enum class outcome
{
    served,      ///< ran; the answer is complete
    not_run,     ///< certainly had no effect and will have none later
    unknown,     ///< may or may not have run
    caller_error ///< had no effect; an unchanged retry would fail again
};

/// Numbered result codes. The numbers are stable. docs/RESULT_CODES.md
/// documents each code; result_code_test compares that page with the table.
///
/// 0: served; 1xx: caller errors; 2xx: refused and not run; 3xx: outcome
/// unknown.
enum class result_code : std::uint32_t
{
    ok = 0,

    malformed_request = 100,
    request_too_large = 101,
    unknown_route = 102,
    key_missing = 103,
    key_unknown = 104,
    key_withdrawn = 105,
    statement_rejected = 107,
    unknown_transaction = 108,
    token_ahead = 109,
    request_timeout = 110,
    request_id_missing = 111,
    wrong_transaction_owner = 112,
    statement_outstanding = 113,

    over_rate = 200,
    queue_full = 201,
    deadline_too_short = 202,
    draining = 203,
    isolated = 204,
    database_leaving = 205,
    no_primary = 206,
    no_fresh_server = 207,
    settings_missing = 208,
    transaction_aborted = 209,
    connection_unavailable = 210,
    caller_gone = 211,

    outcome_unknown = 300,
    superseded = 301,
    unconfirmed = 302
};

/// One row of the result code table.
struct result_info
{
    result_code code;
    std::string_view name;
    tanagerhoist::outcome outcome;
    std::uint32_t http_status;
    std::string_view message;
};

/// Returns the table row of `code`. Every enumerator has one.
const result_info& info(result_code code) noexcept;

/// First row of the table and one past its last; rows are ordered by ascending
/// code.
const result_info* begin_results() noexcept;
const result_info* end_results() noexcept;

/// Name of an outcome as it appears in answers.
std::string_view name(outcome value) noexcept;

} // namespace tanagerhoist

#endif

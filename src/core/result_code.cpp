#include "tanagerhoist/core/result_code.hpp"

#include <algorithm>
#include <array>

namespace tanagerhoist
{
namespace
{

using c = result_code;
using o = outcome;

constexpr std::array<result_info, 29> table{{
    {c::ok, "ok", o::served, 200, "served"},
    {c::malformed_request, "malformed_request", o::caller_error, 400,
     "the request could not be read"},
    {c::request_too_large, "request_too_large", o::caller_error, 413,
     "the request exceeds the size limit"},
    {c::unknown_route, "unknown_route", o::caller_error, 404,
     "no such route is published"},
    {c::key_missing, "key_missing", o::caller_error, 401,
     "the route needs a key"},
    {c::key_unknown, "key_unknown", o::caller_error, 401,
     "the key is not known"},
    {c::key_withdrawn, "key_withdrawn", o::caller_error, 401,
     "the key has been withdrawn"},
    {c::statement_rejected, "statement_rejected", o::caller_error, 422,
     "the database rejected the statement"},
    {c::unknown_transaction, "unknown_transaction", o::caller_error, 409,
     "no such transaction is open on this VM"},
    {c::token_ahead, "token_ahead", o::caller_error, 409,
     "the session token is ahead of the database"},
    {c::request_timeout, "request_timeout", o::caller_error, 408,
     "the request did not arrive whole in time"},
    {c::request_id_missing, "request_id_missing", o::caller_error, 400,
     "a write needs a request id"},
    {c::wrong_transaction_owner, "wrong_transaction_owner", o::caller_error,
     403, "the transaction belongs to another workspace"},
    {c::statement_outstanding, "statement_outstanding", o::caller_error, 409,
     "the transaction's last statement is not answered yet"},
    {c::over_rate, "over_rate", o::not_run, 429,
     "the workspace is over its rate and burst"},
    {c::queue_full, "queue_full", o::not_run, 503,
     "the workspace's queue is full"},
    {c::deadline_too_short, "deadline_too_short", o::not_run, 503,
     "the request could not start before its deadline"},
    {c::draining, "draining", o::not_run, 503, "this VM is leaving"},
    {c::isolated, "isolated", o::not_run, 503,
     "this VM cannot tell whether its settings are current"},
    {c::database_leaving, "database_leaving", o::not_run, 503,
     "the database takes no new work"},
    {c::no_primary, "no_primary", o::not_run, 503,
     "no primary took the request in time"},
    {c::no_fresh_server, "no_fresh_server", o::not_run, 503,
     "no server holds data fresh enough"},
    {c::settings_missing, "settings_missing", o::not_run, 503,
     "no settings are in force yet"},
    {c::transaction_aborted, "transaction_aborted", o::not_run, 409,
     "the transaction was rolled back"},
    {c::connection_unavailable, "connection_unavailable", o::not_run, 503,
     "no connection to the database became free in time"},
    {c::caller_gone, "caller_gone", o::not_run, 503,
     "the caller's connection ended before the request started"},
    {c::outcome_unknown, "outcome_unknown", o::unknown, 504,
     "the request may have run"},
    {c::superseded, "superseded", o::unknown, 504,
     "the primary was superseded before the write was confirmed"},
    {c::unconfirmed, "unconfirmed", o::unknown, 504,
     "the write was not confirmed by enough servers in time"},
}};

} // namespace

const result_info& info(result_code code) noexcept
{
    const auto row =
        std::find_if(table.begin(), table.end(),
                     [code](const result_info& r) { return r.code == code; });
    return row == table.end() ? table.front() : *row;
}

const result_info* begin_results() noexcept
{
    return table.data();
}

const result_info* end_results() noexcept
{
    return table.data() + table.size();
}

std::string_view name(outcome value) noexcept
{
    constexpr std::array<std::string_view, 4> names{"served", "not run",
                                                    "unknown", "caller error"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace tanagerhoist

#include "tanagerhoist/fleet/era_row_store.hpp"

#include "tanagerhoist/fleet/store_era.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{
namespace
{

/// Joins the versions in an answer with its era; 0, for no row, stays.
store_answer join_versions(store_answer answer)
{
    answer.version = numbered_in(answer.era, answer.version);
    for (auto& row : answer.rows)
    {
        if (row.version != 0)
        {
            row.version = numbered_in(answer.era, row.version);
        }
    }
    return answer;
}

store_transaction plain_versions(store_transaction transaction)
{
    for (auto& row : transaction.expected)
    {
        row.version = number_in_era(row.version);
    }
    return transaction;
}

/// Whether a condition names a version of another era than the given one.
bool expects_other_era(const store_transaction& transaction, store_era era)
{
    return std::any_of(transaction.expected.begin(), transaction.expected.end(),
                       [era](const store_row& row) {
                           return row.version != 0 &&
                                  era_of(row.version) != era;
                       });
}

} // namespace

store_answer era_row_store::read(const std::string& table,
                                 const std::string& from)
{
    return join_versions(store_.read(table, from));
}

store_answer era_row_store::write(const store_transaction& transaction)
{
    auto answer = join_versions(store_.write(plain_versions(transaction)));
    const bool done = answer.result == store_result::done;
    if (done && expects_other_era(transaction, answer.era))
    {
        answer.result = store_result::restored;
    }
    return answer;
}

store_answer era_row_store::watch(const std::string& table,
                                  std::uint64_t version, milliseconds wait)
{
    auto answer =
        join_versions(store_.watch(table, number_in_era(version), wait));
    const bool done = answer.result == store_result::done;
    if (done && era_of(version) != answer.era)
    {
        answer.result = store_result::restored;
    }
    return answer;
}

} // namespace tanagerhoist

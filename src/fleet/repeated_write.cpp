#include "tanagerhoist/fleet/repeated_write.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Whether a row of the answer is the one that the change puts.
const store_row* find_put(const store_answer& answer,
                          const store_transaction& change)
{
    const auto& put = change.puts.front();
    const auto it = std::find_if(answer.rows.begin(), answer.rows.end(),
                                 [&put](const store_row& row)
                                 {
                                     return row.table == put.table &&
                                            row.key == put.key &&
                                            row.value == put.value;
                                 });
    return it == answer.rows.end() ? nullptr : &*it;
}

/// Whether an answer tells what became of all attempts so far.
bool settles(const store_answer& answer, bool repeated)
{
    switch (answer.result)
    {
    case store_result::unanswered:
    case store_result::malformed:
        return false;
    case store_result::refused:
        return !repeated; // says nothing about earlier attempts
    default:
        return true;
    }
}

} // namespace

store_answer write_until_answered(row_store& store,
                                  const store_transaction& change,
                                  const std::function<bool()>& goes_on)
{
    auto answer = store.write(change);
    bool repeated = false;
    while (!settles(answer, repeated) && goes_on())
    {
        repeated = true;
        answer = store.write(change);
    }
    const bool performed_before =
        repeated && answer.result == store_result::conflict;
    if (!performed_before)
    {
        return answer;
    }
    if (const auto* row = find_put(answer, change))
    {
        answer.result = store_result::done;
        answer.version = row->version;
    }
    return answer;
}

} // namespace tanagerhoist

#include "tanagerhoist/fleet/row_conflict.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

const store_row* find_row(const std::vector<store_row>& rows,
                          const store_row& wanted)
{
    const auto it = std::find_if(rows.begin(), rows.end(),
                                 [&wanted](const store_row& row) {
                                     return row.table == wanted.table &&
                                            row.key == wanted.key;
                                 });
    return it == rows.end() ? nullptr : &*it;
}

} // namespace

std::uint64_t version_after_conflict(const store_transaction& change,
                                     const store_answer& conflict,
                                     const store_row& expected)
{
    if (const auto* listed = find_row(conflict.rows, expected))
    {
        return listed->version;
    }
    const bool explained = std::any_of(
        change.expected.begin(), change.expected.end(),
        [&conflict](const store_row& condition)
        {
            const auto* row = find_row(conflict.rows, condition);
            return row != nullptr && row->version != condition.version;
        });
    return explained ? expected.version : 0;
}

} // namespace tanagerhoist

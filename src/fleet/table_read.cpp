#include "tanagerhoist/fleet/table_read.hpp"

#include <utility>

namespace tanagerhoist
{
namespace
{

/// Appends the rows of a page, which begins with the last row of the previous
/// page.
/// @return whether the page held a new row
bool append_page(store_answer& whole, store_answer page)
{
    const auto before = whole.rows.size();
    const auto last = whole.rows.back().key;
    for (auto& row : page.rows)
    {
        if (row.key > last)
        {
            whole.rows.push_back(std::move(row));
        }
    }
    whole.truncated = page.truncated;
    return whole.rows.size() > before;
}

} // namespace

store_answer read_table(row_store& store, const std::string& table)
{
    auto whole = store.read(table, "");
    while (whole.result == store_result::done && whole.truncated)
    {
        if (whole.rows.empty())
        {
            whole.result = store_result::malformed;
            break;
        }
        auto page = store.read(table, whole.rows.back().key);
        if (page.result != store_result::done)
        {
            return page;
        }
        if (page.era != whole.era)
        {
            whole.result = store_result::restored;
            break;
        }
        if (!append_page(whole, std::move(page)) && whole.truncated)
        {
            whole.result = store_result::malformed; // would loop forever
        }
    }
    return whole;
}

} // namespace tanagerhoist

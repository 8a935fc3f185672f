#include "tanagerhoist/fleet/held_rows.hpp"

namespace tanagerhoist
{

std::vector<store_row> held_rows::hold(moment now,
                                       const std::vector<store_row>& rows,
                                       const predicate& goes_back)
{
    std::vector<store_row> passed;
    for (const auto& row : rows)
    {
        if (goes_back(row))
        {
            held_[row.key] = {row, now + rewrite_time};
        }
        else
        {
            held_.erase(row.key);
            passed.push_back(row);
        }
    }
    return passed;
}

const std::vector<store_row>&
held_rows::pass(const std::vector<store_row>& rows)
{
    for (const auto& row : rows)
    {
        held_.erase(row.key);
    }
    return rows;
}

std::vector<store_row> held_rows::take_due(moment now)
{
    std::vector<store_row> due;
    for (auto it = held_.begin(); it != held_.end();)
    {
        if (now < it->second.due)
        {
            ++it;
            continue;
        }
        due.push_back(it->second.row);
        it = held_.erase(it);
    }
    return due;
}

} // namespace tanagerhoist

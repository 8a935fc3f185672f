#include "tanagerhoist/fleet/row_mirror.hpp"

#include <algorithm>
#include <set>

namespace tanagerhoist
{

std::vector<store_row> row_mirror::take(const store_answer& answer, bool whole)
{
    std::vector<store_row> changed;
    if (whole)
    {
        changed = mark_missing(answer);
        complete_from_ = answer.version;
    }
    for (const auto& row : answer.rows)
    {
        if (put(row))
        {
            changed.push_back(row);
        }
    }
    version_ = std::max(version_, answer.version);
    return changed;
}

/// Marks rows that a read of the whole table does not hold any more.
std::vector<store_row> row_mirror::mark_missing(const store_answer& answer)
{
    std::set<std::string> present;
    for (const auto& row : answer.rows)
    {
        present.insert(row.key);
    }
    std::vector<store_row> gone;
    for (auto& [key, row] : rows_)
    {
        const bool missing = !row.removed && present.count(key) == 0 &&
                             row.version <= answer.version;
        if (missing)
        {
            row.removed = true;
            row.value.clear();
            row.version = answer.version;
            newest_ = std::max(newest_, row.version);
            gone.push_back(row);
        }
    }
    return gone;
}

/// Takes in one row if it is newer than the known one.
bool row_mirror::put(const store_row& row)
{
    newest_ = std::max(newest_, row.version);
    auto& known = rows_[row.key];
    if (row.version <= known.version)
    {
        return false;
    }
    known = row;
    if (!keeps_values_)
    {
        known.value.clear();
    }
    return true;
}

std::optional<std::vector<store_row>>
row_mirror::since(std::uint64_t version) const
{
    if (!keeps_values_ || version_ == 0 || version < complete_from_)
    {
        return std::nullopt;
    }
    std::vector<store_row> changed;
    for (const auto& [key, row] : rows_)
    {
        if (row.version > version)
        {
            changed.push_back(row);
        }
    }
    return changed;
}

std::vector<store_row>
row_mirror::take_changes(std::uint64_t from, std::uint64_t to,
                         const std::vector<store_row>& rows)
{
    std::vector<store_row> changed;
    if (version_ == 0 || from > version_ || to <= version_)
    {
        return changed; // a gap, or nothing that is not known here
    }
    for (const auto& row : rows)
    {
        if (put(row))
        {
            changed.push_back(row);
        }
    }
    version_ = to;
    return changed;
}

} // namespace tanagerhoist

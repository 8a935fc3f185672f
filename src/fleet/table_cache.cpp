#include "tanagerhoist/fleet/table_cache.hpp"

#include <algorithm>
#include <set>

namespace tanagerhoist
{

std::vector<store_row> table_cache::apply(const store_answer& answer, bool full)
{
    std::vector<store_row> changed;
    if (full)
    {
        changed = mark_removed(answer);
        removals_known_from_ = answer.version;
    }
    for (const auto& row : answer.rows)
    {
        if (merge(row))
        {
            changed.push_back(row);
        }
    }
    version_ = std::max(version_, answer.version);
    return changed;
}

/// Marks rows that are missing from a read of the full table as removed.
std::vector<store_row> table_cache::mark_removed(const store_answer& answer)
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
            newest_seen_ = std::max(newest_seen_, row.version);
            gone.push_back(row);
        }
    }
    return gone;
}

/// Stores a row if it is newer than the known one.
bool table_cache::merge(const store_row& row)
{
    newest_seen_ = std::max(newest_seen_, row.version);
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
table_cache::changes_since(std::uint64_t version) const
{
    if (!keeps_values_ || version_ == 0 || version < removals_known_from_)
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
table_cache::apply_changes(std::uint64_t from, std::uint64_t to,
                           const std::vector<store_row>& rows)
{
    std::vector<store_row> changed;
    if (version_ == 0 || from > version_ || to <= version_)
    {
        return changed; // there is a gap, or all of it is already known
    }
    for (const auto& row : rows)
    {
        if (merge(row))
        {
            changed.push_back(row);
        }
    }
    version_ = to;
    return changed;
}

std::vector<std::string> table_cache::keys() const
{
    std::vector<std::string> found;
    for (const auto& [key, row] : rows_)
    {
        if (!row.removed)
        {
            found.push_back(key);
        }
    }
    return found;
}

} // namespace tanagerhoist

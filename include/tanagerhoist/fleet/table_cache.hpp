#ifndef TANAGERHOIST_FLEET_TABLE_CACHE_HPP
#define TANAGERHOIST_FLEET_TABLE_CACHE_HPP

#include "tanagerhoist/fleet/row_store.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// A copy of one table as of one version of the store. Whoever holds a copy
/// that is not too old can be brought up to date from another, without the
/// store.
class table_cache
{
public:
    /// @param keeps_values false: the values are not passed on
    explicit table_cache(bool keeps_values) : keeps_values_(keeps_values) {}

    /// Takes in the answer to a read or a watch.
    /// @param full whether it holds the full table
    /// @return what has changed here; rows that are gone are marked `removed`
    std::vector<store_row> apply(const store_answer& answer, bool full);

    /// What changed after `version`; nothing if this copy can't tell.
    std::optional<std::vector<store_row>>
    changes_since(std::uint64_t version) const;

    /// Takes in what another copy says has changed between two versions.
    /// @return what has changed here
    std::vector<store_row> apply_changes(std::uint64_t from, std::uint64_t to,
                                         const std::vector<store_row>& rows);

    /// The store's version that the copy reflects; 0: none.
    std::uint64_t version() const { return version_; }

    /// Version of the newest change that was seen; who has an older one lacks
    /// something.
    std::uint64_t newest_seen_version() const { return newest_seen_; }

private:
    bool merge(const store_row& row);
    std::vector<store_row> mark_removed(const store_answer& answer);

    bool keeps_values_;
    std::map<std::string, store_row> rows_; ///< by key, including removed rows
    std::uint64_t version_ = 0;
    std::uint64_t newest_seen_ = 0;
    std::uint64_t removals_known_from_ = 0; ///< version of the last full read
};

} // namespace tanagerhoist

#endif

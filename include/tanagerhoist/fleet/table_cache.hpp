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

/// Copy of one table as of one version of the store. Unless it is too old, a
/// copy can be brought up to date from another VM's copy, without the store.
class table_cache
{
public:
    /// @param keeps_values false: only keys and versions are kept, so that the
    ///   copy can't be used to update another
    explicit table_cache(bool keeps_values) : keeps_values_(keeps_values) {}

    /// Applies the answer to a read or a watch.
    /// @param full whether the answer holds the full table
    /// @return changed rows; rows that no longer exist are marked `removed`
    std::vector<store_row> apply(const store_answer& answer, bool full);

    /// Rows changed after `version`; nothing if this copy does not know all
    /// removals since then.
    std::optional<std::vector<store_row>>
    changes_since(std::uint64_t version) const;

    /// Applies the changes between two versions from another copy. Ignored
    /// unless they continue from this copy's version or an older one.
    /// @return changed rows
    std::vector<store_row> apply_changes(std::uint64_t from, std::uint64_t to,
                                         const std::vector<store_row>& rows);

    /// Keys of the rows that exist; complete after a full read, until the copy
    /// skips changes that another one tells.
    std::vector<std::string> keys() const;

    /// Version of the store that the copy reflects; 0: none.
    std::uint64_t version() const { return version_; }

    /// Version of the newest change seen; a copy with an older one is
    /// incomplete.
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

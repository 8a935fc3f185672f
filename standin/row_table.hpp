#ifndef TANAGERHOIST_STANDIN_ROW_TABLE_HPP
#define TANAGERHOIST_STANDIN_ROW_TABLE_HPP

#include "tanagerhoist/fleet/row_store.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist::standin
{

/// Rows of the platform's store as a state machine without sockets or clock.
/// Can be replaced by an older copy of itself, as a restored store is: versions
/// go back, and the era rises by one.
class row_table
{
public:
    /// Rows of a table with keys from `from` on, at most `limit` of them.
    store_answer read(const std::string& table, const std::string& from,
                      std::size_t limit) const;

    /// Applies a transaction, or returns the rows that it conflicts with;
    /// those that do not exist have version 0.
    store_answer write(const store_transaction& transaction);

    /// Rows of a table that changed after `version`, including removed ones;
    /// `compacted` if the table has not reached that version.
    store_answer changes(const std::string& table, std::uint64_t version) const;

    /// Takes a copy that restore() returns to.
    void take_copy() { copy_ = current_; }

    /// Returns to the last copy, or to an empty table.
    void restore();

    std::uint64_t era() const { return era_; }

private:
    struct contents
    {
        /// By table and key, including removed rows.
        std::map<std::pair<std::string, std::string>, store_row> rows;
        std::uint64_t version = 0;
    };

    store_answer begin() const;

    contents current_;
    contents copy_;
    std::uint64_t era_ = 1;
};

} // namespace tanagerhoist::standin

#endif

#ifndef TANAGERHOIST_FLEET_HELD_ROWS_HPP
#define TANAGERHOIST_FLEET_HELD_ROWS_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/row_store.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Time in which those who wrote rows that a restored store has lost write them
/// again, and in which the store removes rows that nobody writes any more.
constexpr milliseconds rewrite_time{4000};

/// Rows that went back when the store came back older: they take effect only
/// if they have not been written again after `rewrite_time`.
class held_rows
{
public:
    using predicate = std::function<bool(const store_row&)>;

    /// Holds those rows of a read after a restore that go back. A row that is
    /// written later replaces a held one.
    /// @return rows that take effect now
    std::vector<store_row> hold(moment now, const std::vector<store_row>& rows,
                                const predicate& goes_back);

    /// Passes on rows that were written since.
    const std::vector<store_row>& pass(const std::vector<store_row>& rows);

    /// Rows that were held long enough, and take effect now.
    std::vector<store_row> take_due(moment now);

private:
    struct held_row
    {
        store_row row;
        moment due;
    };

    std::map<std::string, held_row> held_; ///< by key
};

} // namespace tanagerhoist

#endif

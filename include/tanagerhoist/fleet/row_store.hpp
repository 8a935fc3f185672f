#ifndef TANAGERHOIST_FLEET_ROW_STORE_HPP
#define TANAGERHOIST_FLEET_ROW_STORE_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// One row of a table.
struct store_row
{
    std::string table;
    std::string key;
    std::string value;
    /// Version of the last transaction that wrote it; 0: absent.
    std::uint64_t version = 0;
    bool removed = false;
};

/// Outcome of a call to the store.
enum class store_result
{
    done,
    conflict,  ///< a row had another version; nothing was written
    refused,   ///< the store does not serve this VM now; nothing was written
    compacted, ///< the requested history has been discarded
    /// The store has come back older since the versions of the call were read.
    /// A write has run, on conditions that meant other rows.
    restored,
    unanswered, ///< the call may have run, or may still run
    malformed   ///< the answer could not be decoded
};

/// Text of a result in log lines.
inline const char* store_result_name(store_result result)
{
    switch (result)
    {
    case store_result::done:
        return "done";
    case store_result::conflict:
        return "conflict";
    case store_result::refused:
        return "refused";
    case store_result::compacted:
        return "history gone";
    case store_result::restored:
        return "store restored";
    case store_result::unanswered:
        return "no answer";
    default:
        return "unreadable";
    }
}

/// Answer to a call.
struct store_answer
{
    store_result result = store_result::unanswered;
    std::vector<store_row> rows; ///< read, changed, or in conflict
    std::uint64_t version = 0; ///< newest transaction that the answer reflects
    std::uint64_t era = 0;     ///< rises when the store comes back older
    milliseconds now{0};       ///< the store's clock
    moment sent{};             ///< when the call was sent
    bool truncated = false;    ///< the table has rows after the last one
};

/// Conditional write, applied only if each row of `expected` has its `version`.
struct store_transaction
{
    std::vector<store_row> expected;
    std::vector<store_row> puts;
    std::vector<store_row> removals;
};

/// Transactional store of rows, independent of the daemons. Calls suspend the
/// calling fiber until an answer arrives or a timeout expires.
class row_store
{
public:
    virtual ~row_store() = default;

    /// Reads rows of a table with keys from `from` on, in ascending order.
    virtual store_answer read(const std::string& table,
                              const std::string& from) = 0;

    virtual store_answer write(const store_transaction& transaction) = 0;

    /// Waits for rows changed after `version`; returns none after `wait`.
    virtual store_answer watch(const std::string& table, std::uint64_t version,
                               milliseconds wait) = 0;
};

} // namespace tanagerhoist

#endif

#ifndef TANAGERHOIST_STANDIN_SERVER_LOG_HPP
#define TANAGERHOIST_STANDIN_SERVER_LOG_HPP

#include "standin.pb.h"
#include "standin/statement.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanagerhoist::standin
{

/// Log of one server, with the store and the index of request ids derived from
/// it. Positions start at 1 and have no gaps; terms never decrease.
class server_log
{
public:
    /// Appends and applies `entry`, whose position must be `size() + 1`.
    void append(proto::standin::LogEntry entry);

    /// Removes all entries after `position` and reverts their changes.
    void truncate(std::uint64_t position);

    /// Whether the log holds an entry with this position and term; true for
    /// position 0.
    bool holds(const proto::LogPoint& point) const;

    /// Point of the last entry; (0, 0) if the log is empty.
    proto::LogPoint last() const;

    /// Point of the entry at `position`, which must be in the log or 0.
    proto::LogPoint point_at(std::uint64_t position) const;

    /// Position of the first entry whose term is at least `term`; `size() + 1`
    /// if there is none.
    std::uint64_t first_position_of_term(std::uint64_t term) const;

    /// Entry written by the request with this id; null if there is none.
    const proto::standin::LogEntry* find(const std::string& request_id) const;

    /// Entry at `position`, starting at 1.
    const proto::standin::LogEntry& at(std::uint64_t position) const;

    std::uint64_t size() const { return records_.size(); }
    const key_value_store& store() const { return store_; }

private:
    /// Value of a key before an entry changed it; empty if it was absent.
    struct previous_value
    {
        std::string key;
        std::optional<std::string> value;
    };

    struct record
    {
        proto::standin::LogEntry entry;
        std::vector<previous_value> undo;
    };

    void remove_last();

    std::vector<record> records_;
    key_value_store store_;
    std::unordered_map<std::string, std::uint64_t> request_ids_;
};

} // namespace tanagerhoist::standin

#endif

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

/// Log of one server, with the store and the index of request ids that follow
/// from it. Positions count from 1 without gaps; terms never fall along it.
class server_log
{
public:
    /// Appends `entry`, whose position must be the next, and applies it.
    void append(proto::standin::LogEntry entry);

    /// Removes all entries after `position` and undoes their changes.
    void truncate(std::uint64_t position);

    /// Whether the log has this very entry; position 0 is always held.
    bool holds(const proto::LogPoint& point) const;

    /// End of the log; (0, 0) if it is empty.
    proto::LogPoint last() const;

    /// Point of the entry at `position`, which must be held or 0.
    proto::LogPoint point_at(std::uint64_t position) const;

    /// Position of the first entry of a term not below `term`; one past the
    /// end if there is none.
    std::uint64_t first_position_of_term(std::uint64_t term) const;

    /// Entry that a request with this id wrote; null if there is none.
    const proto::standin::LogEntry* find(const std::string& request_id) const;

    /// Entry at `position`, counted from 1.
    const proto::standin::LogEntry& at(std::uint64_t position) const;

    std::uint64_t size() const { return records_.size(); }
    const key_value_store& store() const { return store_; }

private:
    /// What a key held before an entry changed it.
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

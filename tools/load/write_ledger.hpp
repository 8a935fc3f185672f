#ifndef TANAGERHOIST_TOOLS_LOAD_WRITE_LEDGER_HPP
#define TANAGERHOIST_TOOLS_LOAD_WRITE_LEDGER_HPP

#include "load_client.hpp"

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace tanagerhoist::load
{

/// One write of a run. It appends `value` to a key that no other write uses
/// and that is also its request id.
struct write_record
{
    std::string id;
    std::string database;
    std::string value;
    std::string outcome; ///< as answers name it; empty: no answer
};

/// The writes of a run and what was promised for each.
class write_ledger
{
public:
    void add(write_record write) { writes_.push_back(std::move(write)); }

    /// Holds all writes against the logs of the current primaries and prints
    /// what differs: served writes are there once and alone, those that were
    /// not run or a caller's error are not there, no write is there twice.
    /// @return whether all is so
    bool verify(load_client& client, const fleet_config& fleet,
                std::ostream& out) const;

private:
    std::vector<write_record> writes_;
};

} // namespace tanagerhoist::load

#endif

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

/// One write of a run. It appends `value` to a key that is also its request id,
/// so that no other write uses it.
struct write_record
{
    std::string id;
    std::string database;
    std::string value;
    std::string outcome; ///< as in the reply; empty if none arrived
};

/// The writes of a run with their outcomes.
class write_ledger
{
public:
    void add(write_record write) { writes_.push_back(std::move(write)); }

    /// Compares all writes with the logs and stores of the current primaries
    /// and prints counts per database. A served write must be in the log, one
    /// answered "not run" or "caller error" must not; no write may be there
    /// twice, or its key hold anything but its value.
    /// @return whether every database passed
    bool verify(load_client& client, const fleet_config& fleet,
                std::ostream& out) const;

private:
    std::vector<write_record> writes_;
};

} // namespace tanagerhoist::load

#endif

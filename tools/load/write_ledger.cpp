#include "write_ledger.hpp"

#include "dumps.hpp"

#include <map>
#include <utility>

namespace tanagerhoist::load
{
namespace
{

/// Result of the verification of one database.
struct verify_counts
{
    std::uint64_t lost = 0; ///< served but not in the log
    /// In the log more than once, or stored with another value.
    std::uint64_t duplicated = 0;
    /// In the log although answered "not run" or "caller error".
    std::uint64_t refused_but_applied = 0;
    std::uint64_t unknown_applied = 0; ///< of unknown outcome, in the log
    std::uint64_t unknown = 0;         ///< outcome "unknown", or no answer

    bool passed() const
    {
        return lost == 0 && duplicated == 0 && refused_but_applied == 0;
    }
};

/// How often each request id occurs in a log, and the contents of the store.
struct applied_writes
{
    explicit applied_writes(const proto::standin::DatabaseDump& dump)
        : store(dump.store().begin(), dump.store().end())
    {
        for (const auto& entry : dump.entry())
        {
            ++count_by_id[entry.request_id()];
        }
    }

    std::map<std::string, std::uint64_t> count_by_id;
    std::map<std::string, std::string> store;
};

void check_write(const write_record& write, const applied_writes& applied,
                 verify_counts& counts)
{
    const auto entry = applied.count_by_id.find(write.id);
    const bool is_applied = entry != applied.count_by_id.end();
    const auto value = applied.store.find(write.id);
    const bool has_own_value =
        value != applied.store.end() && value->second == write.value;
    const bool refused =
        write.outcome == "not run" || write.outcome == "caller error";
    if (is_applied && (entry->second > 1 || !has_own_value))
    {
        ++counts.duplicated;
    }
    if (write.outcome == "served" && !is_applied)
    {
        ++counts.lost;
    }
    if (refused && is_applied)
    {
        ++counts.refused_but_applied;
    }
    if (!refused && write.outcome != "served")
    {
        ++counts.unknown;
        counts.unknown_applied += is_applied ? 1 : 0;
    }
}

} // namespace

bool write_ledger::verify(load_client& client, const fleet_config& fleet,
                          std::ostream& out) const
{
    bool passed = true;
    for (const auto& database : fleet.settings.database())
    {
        const auto dump = read_primary_dump(client, fleet, database.name());
        if (!dump)
        {
            out << "verify " << database.name() << ": no primary answers\n";
            passed = false;
            continue;
        }
        const applied_writes applied(*dump);
        verify_counts counts;
        std::uint64_t write_count = 0;
        for (const auto& write : writes_)
        {
            if (write.database == database.name())
            {
                check_write(write, applied, counts);
                ++write_count;
            }
        }
        out << "verify " << database.name() << " at " << dump->name()
            << ": writes " << write_count << ", lost " << counts.lost
            << ", duplicated " << counts.duplicated
            << ", applied though refused " << counts.refused_but_applied
            << ", outcome unknown " << counts.unknown << " of which applied "
            << counts.unknown_applied << '\n';
        passed = passed && counts.passed();
    }
    return passed;
}

} // namespace tanagerhoist::load

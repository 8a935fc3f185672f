#include "write_ledger.hpp"

#include "dumps.hpp"

#include <map>
#include <utility>

namespace tanagerhoist::load
{
namespace
{

/// Counts of one database's writes.
struct verdict
{
    std::uint64_t lost = 0;    ///< served but not there
    std::uint64_t doubled = 0; ///< there more than once
    std::uint64_t untrue = 0;  ///< there although answered "not run"
    std::uint64_t in_doubt_ran = 0;
    std::uint64_t in_doubt = 0;

    bool clean() const { return lost == 0 && doubled == 0 && untrue == 0; }
};

/// How often each request id is in a log, and what the store holds.
struct held_writes
{
    explicit held_writes(const proto::standin::DatabaseDump& dump)
        : store(dump.store().begin(), dump.store().end())
    {
        for (const auto& entry : dump.entry())
        {
            ++entries[entry.request_id()];
        }
    }

    std::map<std::string, std::uint64_t> entries;
    std::map<std::string, std::string> store;
};

void judge(const write_record& write, const held_writes& held, verdict& result)
{
    const auto entry = held.entries.find(write.id);
    const bool there = entry != held.entries.end();
    const auto value = held.store.find(write.id);
    const bool whole =
        value != held.store.end() && value->second == write.value;
    const bool refused =
        write.outcome == "not run" || write.outcome == "caller error";
    if (there && (entry->second > 1 || !whole))
    {
        ++result.doubled;
    }
    if (write.outcome == "served" && !there)
    {
        ++result.lost;
    }
    if (refused && there)
    {
        ++result.untrue;
    }
    if (!refused && write.outcome != "served")
    {
        ++result.in_doubt;
        result.in_doubt_ran += there ? 1 : 0;
    }
}

} // namespace

bool write_ledger::verify(caller& calls, const fleet& all,
                          std::ostream& out) const
{
    bool clean = true;
    for (const auto& database : all.settings.database())
    {
        const auto dump = primary_dump(calls, all, database.name());
        if (!dump)
        {
            out << "verify " << database.name() << ": no primary answers\n";
            clean = false;
            continue;
        }
        const held_writes held(*dump);
        verdict result;
        std::uint64_t count = 0;
        for (const auto& write : writes_)
        {
            if (write.database == database.name())
            {
                judge(write, held, result);
                ++count;
            }
        }
        out << "verify " << database.name() << " at " << dump->name()
            << ": writes " << count << ", lost " << result.lost << ", doubled "
            << result.doubled << ", there though refused " << result.untrue
            << ", in doubt " << result.in_doubt << " of which ran "
            << result.in_doubt_ran << '\n';
        clean = clean && result.clean();
    }
    return clean;
}

} // namespace tanagerhoist::load

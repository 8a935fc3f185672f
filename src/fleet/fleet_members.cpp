#include "tanagerhoist/fleet/fleet_members.hpp"

#include <utility>

namespace tanagerhoist
{

void fleet_members::replace(std::map<std::string, fleet_member> read)
{
    const auto before = std::exchange(rows, std::move(read));
    if (read_at >= incomplete_until)
    {
        return;
    }
    for (const auto& [vm, known] : before)
    {
        const auto [it, missing] = rows.try_emplace(vm, known);
        auto& member = it->second;
        if (missing)
        {
            member.version = 0;
        }
        else if (member.row.store_ms() < known.row.store_ms())
        {
            member.row = known.row;
        }
    }
}

void fleet_members::forget(const std::string& vm, std::uint64_t version)
{
    const auto it = rows.find(vm);
    if (it != rows.end() && it->second.version == version)
    {
        rows.erase(it);
    }
}

} // namespace tanagerhoist

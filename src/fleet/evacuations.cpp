#include "tanagerhoist/fleet/evacuations.hpp"

#include "tanagerhoist/fleet/held_rows.hpp"
#include "tanagerhoist/fleet/store_era.hpp"

#include <vector>

namespace tanagerhoist
{
namespace
{

/// A data centre was evacuated after this time at the earliest if the copy
/// before did not list it.
constexpr milliseconds longest_news_age{2500};

} // namespace

bool evacuations::use(moment now, std::uint64_t version, const name_set& listed)
{
    if (version == 0 || version < version_)
    {
        return false;
    }
    listed_ = listed;
    const auto before = names();
    const auto closing = closing_time(now);
    const bool restored = version_ != 0 && era_of(version) > era_of(version_);
    confirmed_at_ = now;
    version_ = version;
    for (const auto& name : listed)
    {
        closes_at_.try_emplace(name, closing);
        lapses_at_.erase(name);
    }
    for (const auto& name : before)
    {
        if (listed.count(name) != 0)
        {
            continue;
        }
        if (restored)
        {
            lapses_at_.try_emplace(name, now + rewrite_time);
        }
        else if (lapses_at_.count(name) == 0)
        {
            end(name);
        }
    }
    return names() != before;
}

bool evacuations::use_changes(moment now, std::uint64_t version,
                              const std::vector<evacuation_change>& changes)
{
    auto listed = listed_;
    for (const auto& change : changes)
    {
        if (change.version <= version_)
        {
            continue; // the list is newer
        }
        if (change.removed)
        {
            listed.erase(change.data_centre);
        }
        else
        {
            listed.insert(change.data_centre);
        }
    }
    return use(now, version, listed);
}

/// When a data centre closes that a copy lists now for the first time.
moment evacuations::closing_time(moment now) const
{
    const bool fresh = version_ != 0 && now < confirmed_at_ + longest_news_age;
    return fresh ? now + evacuation_work_time : now;
}

bool evacuations::end_lapsed(moment now)
{
    std::vector<std::string> lapsed;
    for (const auto& [name, at] : lapses_at_)
    {
        if (now >= at)
        {
            lapsed.push_back(name);
        }
    }
    for (const auto& name : lapsed)
    {
        end(name);
    }
    return !lapsed.empty();
}

void evacuations::end(const std::string& name)
{
    closes_at_.erase(name);
    lapses_at_.erase(name);
}

void evacuations::mark(server_list& servers) const
{
    for (auto& [id, server] : servers)
    {
        const auto found = closes_at_.find(server.data_centre);
        server.closes_at = found == closes_at_.end()
                               ? std::nullopt
                               : std::optional(found->second);
    }
}

evacuations::name_set evacuations::names() const
{
    name_set found;
    for (const auto& [name, at] : closes_at_)
    {
        found.insert(name);
    }
    return found;
}

} // namespace tanagerhoist

#include "tanagerhoist/session/settings_findings.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tanagerhoist
{
namespace
{

using findings = std::vector<settings_finding>;

std::string in_ms(milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

template <typename Map>
bool names_group(const Map& routes, const std::string& group)
{
    return std::any_of(routes.begin(), routes.end(),
                       [&group](const auto& route)
                       { return route.second.group == group; });
}

bool has_key(const session_settings& settings, const std::string& workspace)
{
    return std::any_of(settings.keys.begin(), settings.keys.end(),
                       [&workspace](const auto& key)
                       { return key.second == workspace; });
}

void check_route(const session_settings& settings, const std::string& database,
                 const session_route& route, findings& found)
{
    const auto add = [&](std::string text) {
        found.push_back({"route " + database, std::move(text)});
    };
    if (settings.groups.count(route.group) == 0)
    {
        add("no group " + route.group + ": it never serves");
    }
    if (!route.open && settings.keys.empty())
    {
        add("needs a key, and there is none");
    }
    if (route.consistency == read_consistency::bounded_staleness &&
        route.max_staleness == milliseconds(0))
    {
        add("bounded staleness of 0 ms: no replica is ever fresh enough");
    }
    if (route.statement_timeout < route.target_latency)
    {
        add("its timeout of " + in_ms(route.statement_timeout) +
            " ends statements that are within the target latency of " +
            in_ms(route.target_latency));
    }
    if (route.target_latency == milliseconds(0))
    {
        add("a target latency of 0 ms can't be kept");
    }
}

void check_group(const session_settings& settings, const std::string& name,
                 const session_group& group, findings& found)
{
    const auto add = [&](std::string text) {
        found.push_back({"group " + name, std::move(text)});
    };
    if (!names_group(settings.routes, name))
    {
        add("no route uses it");
    }
    if (group.connections == 0)
    {
        add("no connection is allowed: it never serves");
    }
    else if (group.connections <= group.synchronous_replicas)
    {
        add(std::to_string(group.connections) +
            " connections are too few for " +
            std::to_string(group.synchronous_replicas) +
            " synchronous replicas and one statement");
    }
    if (group.warmup_rate > 0 && group.warmup == milliseconds(0))
    {
        add("a rate for the warm-up, which takes no time");
    }
    if (group.warmup > milliseconds(0) && group.warmup_rate == 0)
    {
        add("a time for the warm-up, which has no rate");
    }
}

void check_workspace(const session_settings& settings, const std::string& name,
                     const session_workspace& workspace, findings& found)
{
    const auto add = [&](std::string text) {
        found.push_back({"workspace " + name, std::move(text)});
    };
    if (!has_key(settings, name))
    {
        add("no key belongs to it");
    }
    if (workspace.burst < 1)
    {
        add("a burst below one operation: none is ever admitted");
    }
    if (workspace.rate == 0)
    {
        add("a rate of 0: nothing is admitted after the first burst");
    }
}

/// A value of an entry, in words.
using value = std::pair<const char*, std::string>;

const char* word_of(read_consistency consistency)
{
    switch (consistency)
    {
    case read_consistency::primary:
        return "primary";
    case read_consistency::bounded_staleness:
        return "bounded staleness";
    default:
        return "read your writes";
    }
}

std::string word_of(double number)
{
    auto text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    return text.back() == '.' ? text.substr(0, text.size() - 1) : text;
}

std::string word_of(const region_set& regions)
{
    std::string names;
    for (const auto& region : regions)
    {
        names += names.empty() ? "" : ", ";
        names += region;
    }
    return names.empty() ? "all" : names;
}

std::vector<value> values_of(const session_route& route)
{
    return {{"group", route.group},
            {"consistency", word_of(route.consistency)},
            {"statement timeout", in_ms(route.statement_timeout)},
            {"target latency", in_ms(route.target_latency)},
            {"maximum staleness", in_ms(route.max_staleness)},
            {"priority", std::to_string(route.priority)},
            {"open without a key", route.open ? "yes" : "no"},
            {"regions", word_of(route.regions)}};
}

std::vector<value> values_of(const session_group& group)
{
    return {
        {"connections", std::to_string(group.connections)},
        {"synchronous replicas", std::to_string(group.synchronous_replicas)},
        {"warm-up", in_ms(group.warmup)},
        {"warm-up rate", word_of(group.warmup_rate)}};
}

std::vector<value> values_of(const session_workspace& workspace)
{
    return {{"rate", word_of(workspace.rate)},
            {"burst", word_of(workspace.burst)},
            {"regions", word_of(workspace.regions)}};
}

template <typename Map>
std::vector<std::string> names_of(const Map& current, const Map& next)
{
    std::vector<std::string> names;
    for (const auto* map : {&current, &next})
    {
        for (const auto& entry : *map)
        {
            names.push_back(entry.first);
        }
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

template <typename Map>
void compare(const std::string& kind, const Map& current, const Map& next,
             std::vector<std::string>& lines)
{
    for (const auto& name : names_of(current, next))
    {
        auto place = kind;
        place.append(" ").append(name);
        const auto before = current.find(name);
        const auto after = next.find(name);
        if (before == current.end() || after == next.end())
        {
            lines.push_back((before == current.end() ? "+ " : "- ") + place);
            continue;
        }
        const auto old_values = values_of(before->second);
        const auto new_values = values_of(after->second);
        for (std::size_t i = 0; i < old_values.size(); ++i)
        {
            if (old_values[i] != new_values[i])
            {
                auto line = "~ " + place;
                line.append(" ").append(old_values[i].first);
                line.append(": ").append(old_values[i].second);
                line.append(" -> ").append(new_values[i].second);
                lines.push_back(std::move(line));
            }
        }
    }
}

/// Keys of `from` that don't belong to the same workspace in `other`, counted
/// by workspace.
std::unordered_map<std::string, std::size_t>
keys_missing_in(const session_settings& other, const session_settings& from)
{
    std::unordered_map<std::string, std::size_t> counts;
    for (const auto& [key, workspace] : from.keys)
    {
        const auto* there = other.workspace_of(key);
        if (there == nullptr || *there != workspace)
        {
            ++counts[workspace];
        }
    }
    return counts;
}

void compare_keys(const session_settings& current, const session_settings& next,
                  std::vector<std::string>& lines)
{
    auto removed = keys_missing_in(next, current);
    auto added = keys_missing_in(current, next);
    for (const auto& name : names_of(removed, added))
    {
        lines.push_back("~ workspace " + name + " keys: +" +
                        std::to_string(added[name]) + " -" +
                        std::to_string(removed[name]));
    }
}

} // namespace

std::vector<settings_finding> find_faults(const session_settings& settings)
{
    findings found;
    for (const auto& [database, route] : settings.routes)
    {
        check_route(settings, database, route, found);
    }
    for (const auto& [name, group] : settings.groups)
    {
        check_group(settings, name, group, found);
    }
    for (const auto& [name, workspace] : settings.workspaces)
    {
        check_workspace(settings, name, workspace, found);
    }
    std::sort(found.begin(), found.end(),
              [](const auto& a, const auto& b) {
                  return std::tie(a.place, a.text) < std::tie(b.place, b.text);
              });
    return found;
}

std::vector<std::string> find_changes(const session_settings& current,
                                      const session_settings& next)
{
    std::vector<std::string> lines;
    compare("route", current.routes, next.routes, lines);
    compare("group", current.groups, next.groups, lines);
    compare("workspace", current.workspaces, next.workspaces, lines);
    compare_keys(current, next, lines);
    if (current.transaction_idle != next.transaction_idle)
    {
        lines.push_back(
            "~ transaction idle time: " + in_ms(current.transaction_idle) +
            " -> " + in_ms(next.transaction_idle));
    }
    return lines;
}

} // namespace tanagerhoist

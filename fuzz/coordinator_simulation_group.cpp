#include "coordinator_simulation.hpp"

#include <algorithm>

namespace tanagerhoist::fuzz
{

simulated_group::simulated_group()
{
    servers_.front().primary = true;
}

std::string simulated_group::name(std::size_t index)
{
    return "server-" + std::to_string(index);
}

std::size_t simulated_group::index_of(const std::string& id)
{
    return std::stoul(id.substr(id.find('-') + 1));
}

std::optional<std::size_t> simulated_group::leader() const
{
    for (std::size_t i = 0; i < servers_.size(); ++i)
    {
        const auto& s = servers_.at(i);
        if (s.up && s.primary && s.term == newest_term_)
        {
            return i;
        }
    }
    return std::nullopt;
}

bool simulated_group::is_whole() const
{
    return std::all_of(servers_.begin(), servers_.end(),
                       [this](const server& s)
                       {
                           return s.up && !s.isolated && !is_replaced(s) &&
                                  s.log == servers_.front().log;
                       });
}

bool simulated_group::reaches(std::size_t vm, std::size_t index) const
{
    const auto& s = servers_.at(index);
    return s.up && s.unreachable_for.count(vm) == 0;
}

server_role simulated_group::role(std::size_t index) const
{
    const auto& s = servers_.at(index);
    const auto written = s.log.empty() ? 1 : s.log.back().first;
    return {s.primary, s.term, {written, s.log.size()}};
}

simulated_group::commit_result simulated_group::commit(std::size_t index,
                                                       const std::string& write)
{
    auto& s = servers_.at(index);
    if (!s.up || !s.primary)
    {
        return commit_result::refused;
    }
    s.log.emplace_back(s.term, write);
    if (is_replaced(s))
    {
        return commit_result::acknowledged_though_replaced;
    }
    bool received = false;
    for (auto& replica : servers_)
    {
        const bool follows = &replica != &s && replica.up &&
                             !replica.isolated && !s.isolated &&
                             !replica.primary;
        if (follows)
        {
            replica.log.push_back(s.log.back());
            received = true;
        }
    }
    return received ? commit_result::acknowledged : commit_result::refused;
}

void simulated_group::demote(std::size_t index, std::uint64_t term)
{
    auto& s = servers_.at(index);
    if (s.up && s.primary && s.term < term)
    {
        s.primary = false;
        replicate();
    }
}

void simulated_group::promote(std::size_t index)
{
    auto& s = servers_.at(index);
    if (!s.up || (s.primary && s.term == newest_term_))
    {
        return;
    }
    s.primary = true;
    s.term = ++newest_term_;
    replicate();
}

void simulated_group::crash(std::size_t index)
{
    servers_.at(index).up = false;
}

void simulated_group::start(std::size_t index)
{
    auto& s = servers_.at(index);
    s.up = true;
    s.primary = s.primary && !is_replaced(s);
    replicate();
}

void simulated_group::set_isolated(std::size_t index, bool isolated)
{
    servers_.at(index).isolated = isolated;
    replicate();
}

void simulated_group::step_down(std::size_t index)
{
    const auto first = leader();
    auto& s = servers_.at(index);
    const bool learns = first && *first != index && s.up && !s.isolated &&
                        !servers_.at(*first).isolated && is_replaced(s);
    if (learns)
    {
        s.primary = false;
        replicate();
    }
}

/// Replicas take over the log of the newest primary, as far as they reach it.
void simulated_group::replicate()
{
    const auto first = leader();
    if (!first || servers_.at(*first).isolated)
    {
        return;
    }
    const auto& from = servers_.at(*first);
    for (auto& s : servers_)
    {
        if (s.up && !s.isolated && !s.primary)
        {
            s.log = from.log;
            s.term = from.term;
        }
    }
}

server_list simulated_group::listed() const
{
    server_list list;
    for (std::size_t i = 0; i < servers_.size(); ++i)
    {
        const auto& s = servers_.at(i);
        backend_server entry;
        entry.id = name(i);
        entry.group = group_name;
        entry.draining = s.draining;
        entry.claims_primary = s.primary;
        list[entry.id] = entry;
    }
    return list;
}

} // namespace tanagerhoist::fuzz

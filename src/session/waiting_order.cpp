#include "tanagerhoist/session/waiting_order.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace tanagerhoist
{
namespace
{

/// Statements that a workspace may have ahead of its share after it used less.
constexpr double credit_statements = 8;

/// Workspaces of which the share is kept before those that owe nothing are
/// forgotten.
constexpr std::size_t kept_workspaces = 1024;

/// Virtual time of one statement.
double span_of(const queued_statement& statement)
{
    return 1.0 / statement.weight;
}

/// A statement and its virtual start time.
struct tagged_statement
{
    queued_statement statement;
    double start = 0;
    bool within_share = false;
};

} // namespace

void waiting_order::sort(moment answered,
                         std::vector<queued_statement>& waiting) const
{
    std::stable_sort(waiting.begin(), waiting.end(),
                     [answered](const auto& a, const auto& b)
                     { return runs_before(a, b, answered); });
    std::unordered_map<std::string_view, double> next;
    std::vector<tagged_statement> tagged;
    tagged.reserve(waiting.size());
    for (const auto& statement : waiting)
    {
        const auto span = span_of(statement);
        auto [it, is_first] = next.try_emplace(statement.workspace, 0.0);
        it->second =
            is_first ? start_of(statement.workspace, span) : it->second + span;
        tagged.push_back({statement, it->second, it->second <= virtual_time_});
    }
    // Equal ones keep the order of `runs_before`.
    std::stable_sort(tagged.begin(), tagged.end(),
                     [](const auto& a, const auto& b)
                     {
                         if (a.within_share || b.within_share)
                         {
                             return a.within_share && !b.within_share;
                         }
                         return a.start < b.start;
                     });
    std::transform(tagged.begin(), tagged.end(), waiting.begin(),
                   [](const auto& entry) { return entry.statement; });
}

void waiting_order::charge(const queued_statement& assigned)
{
    const auto span = span_of(assigned);
    const auto start = start_of(assigned.workspace, span);
    virtual_time_ = std::max(virtual_time_, start);
    starts_[std::string(assigned.workspace)] = start + span;
    if (starts_.size() > kept_workspaces)
    {
        forget_settled();
    }
}

double waiting_order::start_of(std::string_view workspace, double span) const
{
    const auto earliest = virtual_time_ - credit_statements * span;
    const auto it = starts_.find(std::string(workspace));
    return it == starts_.end() ? earliest : std::max(it->second, earliest);
}

/// Forgets the workspaces that owe nothing: they begin with little credit.
void waiting_order::forget_settled()
{
    for (auto it = starts_.begin(); it != starts_.end();)
    {
        it = it->second <= virtual_time_ ? starts_.erase(it) : std::next(it);
    }
}

} // namespace tanagerhoist

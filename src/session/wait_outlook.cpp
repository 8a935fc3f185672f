#include "tanagerhoist/session/wait_outlook.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace tanagerhoist
{
namespace
{

/// Time in which observations decay to 1/e.
constexpr microseconds observation_decay{1'000'000};

/// Decayed number of statements that makes no difference.
constexpr double settled_assigned = 0.01;

/// Shortest time of waiting that is believed, alone and in answer times: the
/// running statements have to make room first.
constexpr microseconds min_observed{100'000};
constexpr int min_observed_answers = 4;

/// Time of waiting after which a queue that reaches beyond its targets is
/// taken to stay so.
constexpr microseconds lasting_backlog{500'000};

/// Longer than any statement's timeout.
constexpr microseconds never = std::chrono::hours(24);

microseconds to_microseconds(double us)
{
    return microseconds(static_cast<microseconds::rep>(us));
}

} // namespace

void queue_progress::observe(moment now, std::size_t assigned, std::size_t left)
{
    const auto us = static_cast<double>(
        std::chrono::duration_cast<microseconds>(now - last_).count());
    const auto kept =
        std::exp(-us / static_cast<double>(observation_decay.count()));
    backlog_us_ = backlog_us_ * kept + (has_backlog_ ? us : 0);
    assigned_ = assigned_ * kept + static_cast<double>(assigned);
    has_backlog_ = left != 0;
    last_ = now;
}

bool queue_progress::is_settled() const
{
    return !has_backlog_ && backlog_us_ < 1 && assigned_ < settled_assigned;
}

std::optional<microseconds> queue_progress::wait(std::size_t ahead,
                                                 microseconds observed) const
{
    if (backlog_us_ < static_cast<double>(observed.count()))
    {
        return std::nullopt;
    }
    // One more than was seen: errs towards fast.
    const auto each = backlog_us_ / (assigned_ + 1);
    return to_microseconds(each * static_cast<double>(ahead + 1));
}

void wait_outlook::count(moment answered,
                         const std::vector<queued_statement>& assigned,
                         const std::vector<queued_statement>& left)
{
    for (auto& [workspace, known] : flows_)
    {
        known.assigned = known.left = known.ahead = {};
    }
    for (const auto& statement : assigned)
    {
        auto& counts = flows_[std::string(statement.workspace)].assigned;
        ++counts.at(statement.due <= answered);
    }
    for (const auto& statement : left)
    {
        auto& counts = flows_[std::string(statement.workspace)].left;
        ++counts.at(statement.due <= answered);
    }
}

void wait_outlook::observe(moment now)
{
    for (auto it = flows_.begin(); it != flows_.end();)
    {
        auto& known = it->second;
        bool is_settled = true;
        for (std::size_t i = 0; i < known.progress.size(); ++i)
        {
            auto& progress = known.progress.at(i);
            progress.observe(now, known.assigned.at(i), known.left.at(i));
            is_settled = is_settled && progress.is_settled();
        }
        it = is_settled ? flows_.erase(it) : std::next(it);
    }
}

std::vector<unservable_statement>
wait_outlook::update(moment now, microseconds answer_time,
                     const std::vector<queued_statement>& assigned,
                     const std::vector<queued_statement>& left)
{
    const auto answered = now + answer_time;
    const auto observed =
        std::max(min_observed, answer_time * min_observed_answers);
    count(answered, assigned, left);
    observe(now);
    std::vector<unservable_statement> unservable;
    for (const auto& statement : left)
    {
        auto& known = flows_.at(std::string(statement.workspace));
        const bool is_late = statement.due <= answered;
        const auto wait = wait_of(known, statement, answered, observed);
        if (wait && now + *wait >= statement.expires)
        {
            const auto clears = known.progress[0].wait(known.left[0], observed);
            unservable.push_back({statement.id, clears.value_or(*wait)});
            continue; // the next ones move up
        }
        ++known.ahead.at(is_late);
    }
    return unservable;
}

/// Expected time until a statement is assigned; nullopt if it is not known.
std::optional<microseconds>
wait_outlook::wait_of(const flow& known, const queued_statement& statement,
                      moment answered, microseconds observed)
{
    const bool is_late = statement.due <= answered;
    const auto wait =
        known.progress.at(is_late).wait(known.ahead.at(is_late), observed);
    if (is_late || !wait || answered + *wait < statement.due)
    {
        return wait;
    }
    // It will be late before its turn comes, and then behind the other late
    // ones, for which there is no room while the others use all of it.
    const auto late = known.progress[1].wait(known.left[1], observed);
    const bool is_lasting =
        known.progress[0].wait(0, lasting_backlog).has_value();
    return late || !is_lasting ? std::max(*wait, late.value_or(*wait)) : never;
}

void wait_outlook::pause()
{
    for (auto& [workspace, known] : flows_)
    {
        for (auto& progress : known.progress)
        {
            progress.pause();
        }
    }
}

} // namespace tanagerhoist

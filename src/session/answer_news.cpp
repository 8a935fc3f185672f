#include "tanagerhoist/session/answer_news.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace tanagerhoist
{
namespace
{

constexpr double percent = 100;

/// One answer that took very long does not make a server slow.
constexpr double most_times = 10;

/// How an outcome is counted, in the order of `server_outcome`.
struct counted_outcome
{
    std::uint64_t (proto::ServerNews::*count)() const;
    void (proto::ServerNews::*set_count)(std::uint64_t);
};
constexpr std::array<counted_outcome, server_outcomes> counted{{
    {&proto::ServerNews::answered, &proto::ServerNews::set_answered},
    {&proto::ServerNews::no_answer, &proto::ServerNews::set_no_answer},
    {&proto::ServerNews::reset, &proto::ServerNews::set_reset},
    {&proto::ServerNews::failed, &proto::ServerNews::set_failed},
    {&proto::ServerNews::busy, &proto::ServerNews::set_busy},
}};

bool has_failures(const proto::ServerNews& news)
{
    return news.no_answer() + news.reset() + news.failed() > 0;
}

} // namespace

void answer_news::add(const std::string& server, server_outcome outcome)
{
    auto& news = news_[server];
    const auto& field = counted.at(static_cast<std::size_t>(outcome));
    (news.*field.set_count)((news.*field.count)() + 1);
}

void answer_news::add_slowness(const std::string& server, double times)
{
    auto& news = news_[server];
    news.set_slowness_percent(
        news.slowness_percent() +
        static_cast<std::uint64_t>(std::min(times, most_times) * percent));
    news.set_timed(news.timed() + 1);
}

void answer_news::move(const std::string& server, proto::VmReport& report)
{
    auto moved = news_.extract(server);
    moved.mapped().set_server(server);
    *report.add_server_news() = std::move(moved.mapped());
}

void answer_news::describe(proto::VmReport& report)
{
    std::vector<std::string> failing;
    std::vector<std::string> others;
    for (const auto& [server, news] : news_)
    {
        (has_failures(news) ? failing : others).push_back(server);
    }
    const auto turn = std::lower_bound(others.begin(), others.end(), next_);
    std::rotate(others.begin(), turn, others.end());
    failing.insert(failing.end(), others.begin(), others.end());
    const auto told = std::min(most_servers, failing.size());
    next_ = told < failing.size() ? failing[told] : std::string();
    for (std::size_t i = 0; i < told; ++i)
    {
        move(failing[i], report);
    }
}

} // namespace tanagerhoist

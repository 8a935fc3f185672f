#include "tanagerhoist/fleet/server_standings.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tanagerhoist
{
namespace
{

/// Least deviation that is told.
constexpr double told_failing_share = 0.05;
constexpr double told_slowness = 2.5;

/// A server of which nothing was heard for this long is forgotten.
constexpr milliseconds forgotten_after{30000};

/// How long a judgement is told on.
constexpr milliseconds judged_for{100};

constexpr double permille = 1000;
constexpr std::uint64_t full = 1000;
constexpr double percent = 100;

} // namespace

/// Has the servers begin low that were not there before, or are new processes.
void server_standings::begin_started(moment now, const server_list& servers)
{
    std::map<std::string, std::uint64_t> born_ms;
    for (const auto& [id, server] : servers)
    {
        born_ms[id] = server.born_ms;
        const auto known = born_ms_.find(id);
        const bool started =
            known == born_ms_.end() || known->second != server.born_ms;
        if (knows_servers_ && started)
        {
            auto& standing = servers_[id];
            standing.heard = now;
            standing.window = {};
            standing.pace.begin();
        }
    }
    born_ms_ = std::move(born_ms);
    knows_servers_ = true;
}

void server_standings::apply(moment now, const proto::VmReport& report)
{
    for (const auto& news : report.server_news())
    {
        auto& server = servers_[news.server()];
        server.heard = now;
        auto& evidence = server.evidence;
        const auto add = [&](server_outcome outcome, std::uint64_t count)
        {
            if (count > 0)
            {
                evidence.add(now, outcome, static_cast<double>(count));
            }
        };
        add(server_outcome::answered, news.answered());
        add(server_outcome::no_answer, news.no_answer());
        add(server_outcome::reset, news.reset());
        add(server_outcome::failed, news.failed());
        add(server_outcome::busy, news.busy());
        auto& window = server.window;
        window.answered += static_cast<double>(news.answered());
        window.failed += static_cast<double>(news.no_answer() + news.reset() +
                                             news.failed() + news.busy());
        window.slowness_sum +=
            static_cast<double>(news.slowness_percent()) / percent;
        window.timed += static_cast<double>(news.timed());
        if (news.timed() > 0)
        {
            const auto count = static_cast<double>(news.timed());
            evidence.add_slowness(now,
                                  static_cast<double>(news.slowness_percent()) /
                                      percent / count,
                                  count);
        }
    }
}

double server_standings::share_of(const standing& server) const
{
    return paces_ ? server.pace.share() : 1;
}

/// Adjusts the servers' shares to what was seen since the last time.
void server_standings::pace(moment now, const server_list& servers)
{
    if (!paces_)
    {
        return;
    }
    const bool is_due = now >= paced_ + server_pace::interval;
    if (is_due)
    {
        begin_started(now, servers);
    }
    for (auto& [id, server] : servers_)
    {
        if (is_due && paced_ != moment{})
        {
            server.pace.note(std::exchange(server.window, {}));
        }
        const double share = server.pace.share();
        const bool full_again = share == 1 && server.logged_share < 1;
        if (share <= server.logged_share / 2 ||
            share >= server.logged_share * 2 || full_again)
        {
            server.logged_share = share;
            changes_.push_back({id, share});
        }
    }
    paced_ = is_due ? now : paced_;
}

std::vector<pace_change> server_standings::take_pace_changes()
{
    return std::exchange(changes_, {});
}

/// Judges all servers, once for the views of a short time.
void server_standings::judge(moment now, const server_list& servers)
{
    judged_ = now;
    for (auto it = servers_.begin(); it != servers_.end();)
    {
        const bool silent = now >= it->second.heard + forgotten_after;
        it = silent ? servers_.erase(it) : std::next(it);
    }
    pace(now, servers);
    std::vector<proto::ServerStanding> found;
    for (const auto& [id, server] : servers_)
    {
        const double failing = server.evidence.failing_share(now);
        const double slowness = server.evidence.slowness(now);
        const double share = share_of(server);
        if (failing < told_failing_share && slowness < told_slowness &&
            share == 1)
        {
            continue;
        }
        auto& told = found.emplace_back();
        told.set_server(id);
        told.set_failing_permille(
            static_cast<std::uint64_t>(failing * permille));
        told.set_slowness_percent(
            static_cast<std::uint64_t>(slowness * percent));
        told.set_share_permille(static_cast<std::uint64_t>(share * permille));
    }
    const auto is_worse = [](const auto& a, const auto& b)
    {
        const auto badness = [](const auto& told)
        {
            return told.failing_permille() + told.slowness_percent() + full -
                   told.share_permille();
        };
        return badness(a) > badness(b);
    };
    const auto told = std::min(most_told, found.size());
    std::partial_sort(found.begin(),
                      found.begin() + static_cast<std::ptrdiff_t>(told),
                      found.end(), is_worse);
    found.resize(told);
    told_ = std::move(found);
}

void server_standings::add_to(moment now, const server_list& servers,
                              proto::FleetView& view)
{
    if (now >= judged_ + judged_for)
    {
        judge(now, servers);
    }
    for (const auto& standing : told_)
    {
        *view.add_standings() = standing;
    }
}

} // namespace tanagerhoist

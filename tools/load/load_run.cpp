#include "load_run.hpp"

#include "fiber_sleep.hpp"

#include <boost/fiber/fiber.hpp>

#include <algorithm>
#include <utility>

namespace tanagerhoist::load
{
namespace
{

/// Time to wait for a reply beyond the request's own deadline.
constexpr milliseconds reply_timeout_margin{2000};
constexpr milliseconds drain_poll_interval{10};

/// Merges the positions of `from` into `into`; per database, the later one
/// wins.
void merge_token(const proto::SessionToken& from, proto::SessionToken& into)
{
    into.set_session(from.session());
    for (const auto& [database, point] : from.seen())
    {
        auto& known = (*into.mutable_seen())[database];
        if (std::pair(point.term(), point.position()) >
            std::pair(known.term(), known.position()))
        {
            known = point;
        }
    }
}

} // namespace

load_run::load_run(command_context& context)
    : context_(context),
      random_(context.line.seed),
      id_prefix_(
          "run-" +
          std::to_string(
              std::chrono::system_clock::now().time_since_epoch().count()))
{
    const auto& settings = context.fleet.settings;
    sessions_.reserve(static_cast<std::size_t>(settings.workspace_size()) *
                      context.line.sessions);
    for (const auto& workspace : settings.workspace())
    {
        if (!context.fleet.key_of(workspace.name()).empty())
        {
            add_sessions(workspace);
        }
    }
    for (auto& s : sessions_)
    {
        by_workspace_[s.workspace].push_back(&s);
    }
}

void load_run::add_sessions(const proto::WorkspaceSettings& workspace)
{
    const auto& databases = context_.fleet.settings.database();
    for (std::uint32_t i = 0; i < context_.line.sessions; ++i)
    {
        session s;
        s.workspace = workspace.name();
        s.key = context_.fleet.key_of(workspace.name());
        s.database = databases[static_cast<int>(i) % databases.size()].name();
        s.token.set_session(id_prefix_ + "-" + workspace.name() + "-" +
                            std::to_string(i));
        sessions_.push_back(std::move(s));
    }
}

void load_run::run()
{
    const auto start = std::chrono::steady_clock::now();
    send_until_ = start + context_.line.duration;
    for (const auto& database : context_.fleet.settings.database())
    {
        statistics_.databases.try_emplace(database.name(), start);
    }
    std::vector<boost::fibers::fiber> generators;
    for (const auto& workspace : context_.fleet.settings.workspace())
    {
        if (by_workspace_.count(workspace.name()) != 0)
        {
            statistics_.workspaces.try_emplace(
                workspace.name(), double(workspace.rate()),
                double(workspace.burst()), start);
            generators.emplace_back([this, &workspace]
                                    { generate_requests(workspace); });
        }
    }
    for (auto& generator : generators)
    {
        generator.join();
    }
    for (auto& [name, database] : statistics_.databases)
    {
        database.record_write(std::chrono::steady_clock::now());
    }
    while (in_flight_ > 0) // ends, as every request has a timeout
    {
        sleep_for(context_.io, drain_poll_interval);
    }
}

void load_run::generate_requests(const proto::WorkspaceSettings& workspace)
{
    const auto flood = context_.line.rate_factors.find(workspace.name());
    const double rate =
        double(workspace.rate()) * (flood == context_.line.rate_factors.end()
                                        ? context_.line.rate_fraction
                                        : flood->second);
    std::exponential_distribution<double> gap(rate);
    auto& sessions = by_workspace_[workspace.name()];
    auto due = std::chrono::steady_clock::now();
    while (true)
    {
        due += std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::chrono::duration<double>(gap(random_)));
        if (due >= send_until_)
        {
            return;
        }
        sleep_until(context_.io, due);
        if (stopped_)
        {
            return;
        }
        send(make_request(*sessions[random_index(sessions.size())]));
    }
}

std::size_t load_run::random_index(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

const proto::RouteSettings* load_run::random_route(const std::string& database,
                                                   const char* kind)
{
    std::vector<const proto::RouteSettings*> matching;
    for (const auto& route : context_.fleet.settings.route())
    {
        if (route.database() == database && route.kind() == kind &&
            route.open() != "yes")
        {
            matching.push_back(&route);
        }
    }
    return matching.empty() ? nullptr : matching[random_index(matching.size())];
}

load_run::attempt load_run::make_request(session& from)
{
    attempt next{&from, nullptr, {}, ""};
    *next.request.mutable_token() = from.token;
    const bool read = std::uniform_real_distribution<double>()(random_) <
                      context_.line.read_fraction;
    read ? fill_read(next) : fill_write(next);
    next.request.set_route(next.route->name());
    return next;
}

void load_run::fill_read(attempt& next)
{
    auto& from = *next.from;
    next.route = random_route(from.database, "read");
    if (from.acknowledged.empty())
    {
        next.request.set_statement("GET " + id_prefix_);
        return;
    }
    // Half of the reads look up the session's latest write, the others any.
    const auto& id =
        random_index(2) == 0
            ? from.acknowledged.back()
            : from.acknowledged[random_index(from.acknowledged.size())];
    next.request.set_statement("GET " + id);
    next.expected = "by " + id;
}

void load_run::fill_write(attempt& next)
{
    auto& from = *next.from;
    next.route = random_route(from.database, "write");
    const auto id = from.token.session() + "-" + std::to_string(from.next++);
    next.request.set_request_id(id);
    next.request.set_statement("APPEND " + id + " by " + id);
}

void load_run::send(attempt sent)
{
    const auto& daemons = context_.fleet.daemons;
    const auto& daemon = daemons[random_index(daemons.size())];
    auto& workspace = statistics_.workspaces.at(sent.from->workspace);
    const bool conforms =
        workspace.reference.conforms(std::chrono::steady_clock::now());
    workspace.within_limit += conforms ? 1 : 0;
    ++in_flight_;
    boost::fibers::fiber(
        [this, sent = std::move(sent), &daemon]
        {
            const auto started = std::chrono::steady_clock::now();
            const milliseconds timeout =
                milliseconds(sent.route->deadline_ms()) + reply_timeout_margin;
            const auto reply = context_.client.send(daemon, sent.from->key,
                                                    sent.request, timeout);
            record_reply(sent, reply ? *reply : proto::CallerReply(), started);
            --in_flight_;
        })
        .detach();
}

void load_run::record_reply(const attempt& sent,
                            const proto::CallerReply& reply, instant started)
{
    auto& workspace = statistics_.workspaces.at(sent.from->workspace);
    workspace.counts.add(reply.outcome());
    if (!reply.outcome().empty())
    {
        ++statistics_.codes[reply.code()];
    }
    if (sent.route->kind() == "write")
    {
        const auto& id = sent.request.request_id();
        writes_.add({id, sent.from->database, "by " + id, reply.outcome()});
    }
    if (reply.outcome() == "served")
    {
        workspace.add_latency(std::chrono::duration_cast<microseconds>(
            std::chrono::steady_clock::now() - started));
        record_served_reply(sent, reply);
    }
}

void load_run::record_served_reply(const attempt& sent,
                                   const proto::CallerReply& reply)
{
    auto& from = *sent.from;
    auto& database = statistics_.databases.at(from.database);
    merge_token(reply.token(), from.token);
    if (sent.route->kind() == "write")
    {
        from.acknowledged.push_back(sent.request.request_id());
        database.primary = reply.served_by();
        database.record_write(std::chrono::steady_clock::now());
        return;
    }
    database.record_read(reply.served_by());
    statistics_.stale_reads += reply.value() == sent.expected ? 0 : 1;
}

} // namespace tanagerhoist::load

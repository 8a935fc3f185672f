#include "load_run.hpp"

#include "fiber_sleep.hpp"

#include <boost/fiber/fiber.hpp>

#include <algorithm>
#include <utility>

namespace tanagerhoist::load
{
namespace
{

constexpr milliseconds grace{2000}; // beyond the request's own deadline
constexpr milliseconds settle_poll{10};

void merge(const proto::SessionToken& from, proto::SessionToken& into)
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
      name_("run-" +
            std::to_string(
                std::chrono::system_clock::now().time_since_epoch().count()))
{
    const auto& settings = context.all.settings;
    sessions_.reserve(static_cast<std::size_t>(settings.workspace_size()) *
                      context.line.sessions);
    for (const auto& workspace : settings.workspace())
    {
        if (!context.all.key_of(workspace.name()).empty())
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
    const auto& databases = context_.all.settings.database();
    for (std::uint32_t i = 0; i < context_.line.sessions; ++i)
    {
        session s;
        s.workspace = workspace.name();
        s.key = context_.all.key_of(workspace.name());
        s.database = databases[static_cast<int>(i) % databases.size()].name();
        s.token.set_session(name_ + "-" + workspace.name() + "-" +
                            std::to_string(i));
        sessions_.push_back(std::move(s));
    }
}

void load_run::run()
{
    const auto start = std::chrono::steady_clock::now();
    end_ = start + context_.line.time;
    for (const auto& database : context_.all.settings.database())
    {
        seen_.databases.try_emplace(database.name(), start);
    }
    std::vector<boost::fibers::fiber> pacers;
    for (const auto& workspace : context_.all.settings.workspace())
    {
        if (by_workspace_.count(workspace.name()) != 0)
        {
            seen_.workspaces.try_emplace(workspace.name(),
                                         double(workspace.rate()),
                                         double(workspace.burst()), start);
            pacers.emplace_back([this, &workspace] { pace(workspace); });
        }
    }
    for (auto& pacer : pacers)
    {
        pacer.join();
    }
    for (auto& [name, database] : seen_.databases)
    {
        database.write_at(std::chrono::steady_clock::now());
    }
    while (under_way_ > 0) // each is bounded by its timeout
    {
        sleep_for(context_.io, settle_poll);
    }
}

void load_run::pace(const proto::WorkspaceSettings& workspace)
{
    const auto flood = context_.line.flood.find(workspace.name());
    const double rate = double(workspace.rate()) *
                        (flood == context_.line.flood.end() ? context_.line.load
                                                            : flood->second);
    std::exponential_distribution<double> gap(rate);
    auto& sessions = by_workspace_[workspace.name()];
    auto due = std::chrono::steady_clock::now();
    while (true)
    {
        due += std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::chrono::duration<double>(gap(random_)));
        if (due >= end_)
        {
            return;
        }
        sleep_until(context_.io, due);
        if (stopped_)
        {
            return;
        }
        send(compose(*sessions[below(sessions.size())]));
    }
}

std::size_t load_run::below(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

const proto::RouteSettings* load_run::any_route(const std::string& database,
                                                const char* kind)
{
    std::vector<const proto::RouteSettings*> fitting;
    for (const auto& route : context_.all.settings.route())
    {
        if (route.database() == database && route.kind() == kind &&
            route.open() != "yes")
        {
            fitting.push_back(&route);
        }
    }
    return fitting.empty() ? nullptr : fitting[below(fitting.size())];
}

load_run::attempt load_run::compose(session& from)
{
    attempt next{&from, nullptr, {}, ""};
    *next.request.mutable_token() = from.token;
    const bool read =
        std::uniform_real_distribution<double>()(random_) < context_.line.reads;
    read ? compose_read(next) : compose_write(next);
    next.request.set_route(next.route->name());
    return next;
}

void load_run::compose_read(attempt& next)
{
    auto& from = *next.from;
    next.route = any_route(from.database, "read");
    if (from.acknowledged.empty())
    {
        next.request.set_statement("GET " + name_);
        return;
    }
    // Half of the reads look for the session's last write.
    const auto& id = below(2) == 0
                         ? from.acknowledged.back()
                         : from.acknowledged[below(from.acknowledged.size())];
    next.request.set_statement("GET " + id);
    next.expected = "by " + id;
}

void load_run::compose_write(attempt& next)
{
    auto& from = *next.from;
    next.route = any_route(from.database, "write");
    const auto id = from.token.session() + "-" + std::to_string(from.next++);
    next.request.set_request_id(id);
    next.request.set_statement("APPEND " + id + " by " + id);
}

void load_run::send(attempt sent)
{
    const auto& daemons = context_.all.daemons;
    const auto& daemon = daemons[below(daemons.size())];
    auto& workspace = seen_.workspaces.at(sent.from->workspace);
    const bool inside =
        workspace.reference.inside(std::chrono::steady_clock::now());
    workspace.inside += inside ? 1 : 0;
    ++under_way_;
    boost::fibers::fiber(
        [this, sent = std::move(sent), &daemon]
        {
            const auto began = std::chrono::steady_clock::now();
            const milliseconds timeout =
                milliseconds(sent.route->deadline_ms()) + grace;
            const auto reply = context_.calls.ask(daemon, sent.from->key,
                                                  sent.request, timeout);
            settle(sent, reply ? *reply : proto::CallerReply(), began);
            --under_way_;
        })
        .detach();
}

void load_run::settle(const attempt& sent, const proto::CallerReply& reply,
                      instant began)
{
    auto& workspace = seen_.workspaces.at(sent.from->workspace);
    workspace.all.add(reply.outcome());
    if (!reply.outcome().empty())
    {
        ++seen_.codes[reply.code()];
    }
    if (sent.route->kind() == "write")
    {
        const auto& id = sent.request.request_id();
        writes_.add({id, sent.from->database, "by " + id, reply.outcome()});
    }
    if (reply.outcome() == "served")
    {
        workspace.took(std::chrono::duration_cast<microseconds>(
            std::chrono::steady_clock::now() - began));
        settle_served(sent, reply);
    }
}

void load_run::settle_served(const attempt& sent,
                             const proto::CallerReply& reply)
{
    auto& from = *sent.from;
    auto& database = seen_.databases.at(from.database);
    merge(reply.token(), from.token);
    if (sent.route->kind() == "write")
    {
        from.acknowledged.push_back(sent.request.request_id());
        database.primary = reply.served_by();
        database.write_at(std::chrono::steady_clock::now());
        return;
    }
    database.read_by(reply.served_by());
    seen_.stale_reads += reply.value() == sent.expected ? 0 : 1;
}

} // namespace tanagerhoist::load

#include "bench_traffic.hpp"

#include "tanagerhoist/core/log_point.hpp"
#include "tanagerhoist/decision/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerhoist::bench
{

namespace
{

constexpr std::size_t sessions_per_workspace = 6;
constexpr milliseconds clock_interval{100};
constexpr milliseconds drain_time{8000};

} // namespace

traffic::traffic(standin::fleet& fleet, const deployment& user,
                 traffic_options options)
    : fleet_(fleet),
      user_(user),
      options_(options),
      random_(options.seed),
      end_(fleet.now() + options.run_time)
{
    for (std::size_t i = 0; i < user.workspaces.size(); ++i)
    {
        for (std::size_t j = 0; j < sessions_per_workspace; ++j)
        {
            session added;
            added.workspace = i;
            added.vm = draw_vm(i);
            added.caller = fleet.connect(vm_name(added.vm));
            added.token.set_session("s" + std::to_string(sessions_.size()));
            sessions_.push_back(added);
        }
    }
}

double traffic::uniform()
{
    constexpr double parts = 1ULL << 53U;
    return (static_cast<double>(random_() >> 11U) + 0.5) / parts;
}

/// Draws a VM by a Zipf distribution whose most likely VM differs between
/// workspaces, so that the callers of a workspace concentrate on few VMs.
std::size_t traffic::draw_vm(std::size_t workspace)
{
    double total = 0;
    for (std::size_t i = 0; i < vm_count; ++i)
    {
        total += 1.0 / static_cast<double>(i + 1);
    }
    double left = uniform() * total;
    std::size_t rank = 0;
    while (rank + 1 < vm_count && left > 1.0 / static_cast<double>(rank + 1))
    {
        left -= 1.0 / static_cast<double>(++rank);
    }
    return (workspace + rank) % vm_count;
}

std::string traffic::database_of(std::size_t workspace) const
{
    constexpr const char* names[] = {"one", "two", "three"};
    return options_.one_database ? names[0]
                                 : names[workspace % std::size(names)];
}

std::vector<sample> traffic::run()
{
    for (std::size_t i = 0; i < user_.workspaces.size(); ++i)
    {
        generate_request(i);
        const auto first = milliseconds(500 + 370 * i);
        fleet_.later(first, [this, i] { burst(i); });
    }
    move();
    write_clock();
    fleet_.run_for(options_.run_time + drain_time);
    mark_within_limit();
    return std::move(samples_);
}

void traffic::generate_request(std::size_t workspace)
{
    if (fleet_.now() >= end_)
    {
        return;
    }
    double rate = static_cast<double>(user_.workspaces[workspace].rate);
    rate *= options_.flooding_workspace == workspace ? options_.flood_factor
                                                     : options_.load;
    const auto pause = microseconds(
        static_cast<std::int64_t>(-std::log(uniform()) / rate * 1e6));
    fleet_.later(pause, [this, workspace] { generate_request(workspace); });
    const auto first = workspace * sessions_per_workspace;
    auto& from = sessions_[first + random_() % sessions_per_workspace];
    const bool writes = uniform() < options_.write_share;
    const bool aged = uniform() < 0.5;
    send(from, writes ? request_kind::write
               : aged ? request_kind::aged_read
                      : request_kind::token_read);
}

void traffic::burst(std::size_t workspace)
{
    if (fleet_.now() >= end_)
    {
        return;
    }
    fleet_.later(options_.burst_interval,
                 [this, workspace] { burst(workspace); });
    const auto size = static_cast<double>(user_.workspaces[workspace].burst());
    auto& from = sessions_[workspace * sessions_per_workspace];
    for (int i = 0; i < size * options_.burst_share; ++i)
    {
        send(from, request_kind::aged_read);
    }
}

void traffic::move()
{
    if (fleet_.now() >= end_)
    {
        return;
    }
    fleet_.later(options_.move_interval, [this] { move(); });
    for (auto& each : sessions_)
    {
        each.vm = draw_vm(each.workspace);
        fleet_.disconnect_caller(each.caller);
        each.caller = fleet_.connect(vm_name(each.vm));
    }
}

/// Writes the time to each database at regular intervals, so that the age of
/// read data is known. These writes are not part of any other measurement.
void traffic::write_clock()
{
    if (fleet_.now() >= end_)
    {
        return;
    }
    fleet_.later(clock_interval, [this] { write_clock(); });
    for (const std::string database : {"one", "two", "three"})
    {
        const auto value = to_us(fleet_.now());
        auto& group = fleet_.group(database);
        for (const auto& name : group.servers())
        {
            if (!group.server(name).primary())
            {
                continue;
            }
            proto::DatabaseCall call;
            auto& execute = *call.mutable_execute();
            execute.set_request_id("clock" + std::to_string(value));
            execute.set_kind(proto::STATEMENT_WRITE);
            execute.set_statement("PUT clock " + std::to_string(value));
            execute.set_term(group.server(name).sealed_term());
            group.handle(fleet_.now(), name, 0, call);
            clocks_[database].push_back({value, fleet_.now()});
        }
    }
}

void traffic::send(session& from, request_kind kind)
{
    constexpr const char* routes[] = {"write-", "read-", "aged-"};
    const auto number = samples_.size();
    const auto id = "r" + std::to_string(number);
    const std::string key = kind == request_kind::write ? id : from.last_key;
    proto::CallerRequest request;
    request.set_request_id(id);
    request.set_route(routes[static_cast<std::size_t>(kind)] +
                      database_of(from.workspace));
    request.set_statement(kind == request_kind::write ? "PUT " + key + " x"
                          : kind == request_kind::aged_read ? "GET clock"
                                                            : "GET " + key);
    *request.mutable_token() = from.token;
    sample added;
    added.workspace = from.workspace;
    added.vm = from.vm;
    added.kind = kind;
    added.arrived = fleet_.now() + user_.to_clients;
    added.has_written = !key.empty();
    samples_.push_back(added);
    fleet_.request(from.caller, credential_of(user_.workspaces[from.workspace]),
                   request,
                   [this, &from, number, key](const proto::CallerReply* reply)
                   { on_reply(from, number, key, reply); });
}

void traffic::on_reply(session& from, std::size_t number,
                       const std::string& key, const proto::CallerReply* reply)
{
    auto& entry = samples_[number];
    entry.answered = fleet_.now() - user_.to_clients;
    if (reply == nullptr)
    {
        return;
    }
    entry.reply = *reply;
    if (reply->code() != 0)
    {
        return;
    }
    for (const auto& [database, point] : reply->token().seen())
    {
        auto& seen = (*from.token.mutable_seen())[database];
        seen = seen < point ? point : seen;
    }
    switch (entry.kind)
    {
    case request_kind::write:
        from.last_key = key;
        break;
    case request_kind::token_read:
        entry.stale = entry.has_written && reply->value().empty();
        break;
    case request_kind::aged_read:
        entry.stale = exceeds_age_limit(entry);
        break;
    }
}

bool traffic::exceeds_age_limit(const sample& entry) const
{
    const auto writes = clocks_.find(database_of(entry.workspace));
    if (writes == clocks_.end() ||
        entry.answered.time_since_epoch() < tolerated_age)
    {
        return false;
    }
    const auto value =
        entry.reply->value().empty() ? 0 : std::stoull(entry.reply->value());
    return std::any_of(writes->second.begin(), writes->second.end(),
                       [&](const clock_write& each)
                       {
                           return each.value > value &&
                                  each.acknowledged <
                                      entry.arrived - tolerated_age;
                       });
}

/// Marks the requests that an exact fleet-wide token bucket per workspace
/// admits.
void traffic::mark_within_limit()
{
    std::vector<std::size_t> order(samples_.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i] = i;
    }
    std::stable_sort(order.begin(), order.end(),
                     [this](std::size_t a, std::size_t b)
                     { return samples_[a].arrived < samples_[b].arrived; });
    struct bucket
    {
        double tokens = 0;
        moment at{};
    };
    std::map<std::size_t, bucket> buckets;
    for (const auto i : order)
    {
        auto& entry = samples_[i];
        const auto& size = user_.workspaces[entry.workspace];
        auto [found, first] = buckets.try_emplace(entry.workspace);
        auto& b = found->second;
        const std::chrono::duration<double> passed = entry.arrived - b.at;
        const auto burst = static_cast<double>(size.burst());
        b.tokens =
            first ? burst
                  : std::min(burst,
                             b.tokens + passed.count() *
                                            static_cast<double>(size.rate));
        b.at = entry.arrived;
        entry.within_limit = b.tokens >= 1;
        b.tokens -= entry.within_limit ? 1 : 0;
    }
}

} // namespace tanagerhoist::bench

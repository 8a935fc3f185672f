#include "deployment.hpp"

#include <string>

namespace tanagerhoist::review
{
namespace
{

namespace json = boost::json;

constexpr milliseconds longest_start{30000};
constexpr milliseconds start_check{100};
constexpr unsigned connections_per_server = 33;

/// Bounds of the users' pages, by the placeholder of the settings' template.
placeholders common_settings()
{
    return {{"zone", data_centre},          {"region", "ie-west"},
            {"bounds.graceS", "6"},         {"bounds.quotaWindowS", "5"},
            {"bounds.quotaOverage", "0.1"}, {"bounds.quotaSlack", "20"},
            {"bootstrap", "true"},          {"limits.cpuShare", "0.25"},
            {"limits.memoryMb", "260"},     {"limits.maxFds", "4300"}};
}

std::string group_name(std::size_t index)
{
    return "g" + std::to_string(index);
}

} // namespace

deployment::deployment(const deployment_options& options,
                       const std::string& folder,
                       const std::string& record_file)
    : options_(options),
      events_(record_file),
      platform_(context_, events_,
                [this](const std::string& group, const std::string& server)
                {
                    const auto index = std::stoul(group.substr(1));
                    return groups_.at(index)->promote(server);
                })
{
    for (std::size_t i = 0; i < options.groups; ++i)
    {
        database_options made;
        made.group = group_name(i);
        made.data_centres = {data_centre, data_centre, data_centre};
        made.work = options.work;
        made.lag = options.lag;
        group_of_.push_back(i);
        groups_.push_back(std::make_unique<database>(
            context_, platform_, made,
            [this](const run& begun)
            {
                by_id_.emplace(begun.id, runs_.size());
                runs_.push_back(begun);
                events_.write(begun.server, "runs " + begun.id + " for " +
                                                begun.workspace + ": " +
                                                begun.text);
            }));
    }
    publish();
    std::vector<daemon*> targets;
    for (std::size_t i = 0; i < options.daemons; ++i)
    {
        auto settings = common_settings();
        settings["nodeName"] = "vm" + std::to_string(i + 1);
        settings["platform.address"] =
            "127.0.0.1:" + std::to_string(platform_.store_port());
        settings["cloud.address"] =
            "127.0.0.1:" + std::to_string(platform_.duty_port());
        daemons_.push_back(std::make_unique<daemon>(context_, events_, folder,
                                                    std::move(settings)));
        targets.push_back(daemons_.back().get());
    }
    for (auto* one : targets)
    {
        one->start();
    }
    balancer_ = std::make_unique<balancer>(context_, events_, targets);
}

void deployment::move_route(std::size_t database, std::size_t group)
{
    group_of_.at(database) = group;
    publish();
    events_.write("operator", "version " + std::to_string(version_) + ": db" +
                                  std::to_string(database) + " at " +
                                  group_name(group));
}

void deployment::set_lag(std::size_t group, std::size_t server,
                         milliseconds lag)
{
    groups_.at(group)->set_lag(server, lag);
    events_.write("case", group_name(group) + "-s" +
                              std::to_string(server + 1) + " applies " +
                              std::to_string(lag.count()) + " ms late");
}

void deployment::publish()
{
    const auto& options = options_;
    json::array routes;
    json::array services;
    json::array tenants;
    for (std::size_t i = 0; i < options.groups; ++i)
    {
        routes.push_back(
            json::object{{"database", "db" + std::to_string(i)},
                         {"backend", group_name(group_of_.at(i))},
                         {"type", options.type},
                         {"timeoutMs", options.timeout.count()},
                         {"targetLatencyMs", 400},
                         {"maxStalenessMs", options.staleness.count()},
                         {"priority", 2}});
        services.push_back(json::object{{"name", group_name(i)},
                                        {"maxConns", connections_per_server},
                                        {"syncReplicas", 0}});
    }
    for (const auto& one : options.tenants)
    {
        tenants.push_back(json::object{{"name", one.name},
                                       {"apiKeys", json::array{one.key}},
                                       {"ratePerS", one.rate},
                                       {"burst", one.burst}});
    }
    platform_.put("op", "config",
                  json::serialize(json::object{{"version", ++version_},
                                               {"routes", routes},
                                               {"services", services},
                                               {"tenants", tenants},
                                               {"limits", json::object{}}}));
}

bool deployment::wait_until_ready(const asio::yield_context& yield)
{
    const auto until = now() + longest_start;
    while (!balancer_->are_all_ready())
    {
        if (now() >= until)
        {
            return false;
        }
        pause(start_check, yield);
    }
    return true;
}

void deployment::pause(milliseconds time, const asio::yield_context& yield)
{
    asio::steady_timer timer(context_, time);
    timer.async_wait(yield);
}

} // namespace tanagerhoist::review

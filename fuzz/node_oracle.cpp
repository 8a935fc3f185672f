// Oracle of the state test of whole nodes.
#include "fuzz/node_oracle.hpp"

#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/decision/authenticator.hpp"
#include "tanagerhoist/decision/settings_view.hpp"

#include <algorithm>

namespace tanagerhoist::fuzz
{

namespace
{

constexpr double rounding_tolerance = 1e-3; // of a request

std::size_t count_occurrences(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
    {
        ++count;
    }
    return count;
}

void add_route(proto::Settings& settings, const std::string& name,
               const std::string& database, const std::string& kind,
               const std::string& idempotent, std::uint64_t age)
{
    auto& route = *settings.add_route();
    route.set_name(name);
    route.set_database(database);
    route.set_kind(kind);
    route.set_idempotent(idempotent);
    route.set_tolerated_age_ms(age);
    route.set_deadline_ms(4000);
}

} // namespace

proto::Settings test_settings()
{
    proto::Settings settings;
    for (const std::string database : {"d", "e"})
    {
        auto& group = *settings.add_database();
        group.set_name(database);
        group.set_connections(6);
        group.set_slots(2);
        for (const std::string place : {"a", "b", "c"})
        {
            auto& server = *settings.add_server();
            server.set_name(database);
            server.mutable_name()->append("-").append(place);
            server.set_database(database);
            server.set_data_centre(place);
        }
        add_route(settings, "read-" + database, database, "read", "yes", 0);
        add_route(settings, "aged-" + database, database, "read", "yes", 500);
        add_route(settings, "write-" + database, database, "write", "yes", 0);
        add_route(settings, "book-" + database, database, "write", "no", 0);
    }
    constexpr std::uint64_t rates[] = {20, 40};
    for (std::size_t i = 0; i < std::size(rates); ++i)
    {
        auto& workspace = *settings.add_workspace();
        workspace.set_name("w" + std::to_string(i));
        workspace.set_rate(rates[i]);
        workspace.set_burst(rates[i] / 2);
        workspace.set_weight(1);
    }
    for (const auto& each : test_keys)
    {
        auto& key = *settings.add_key();
        key.set_name(each.id);
        key.set_workspace(each.workspace);
        key.set_salt("00");
        key.set_hash(key_hash(std::string(1, '\0'), each.secret));
    }
    return settings;
}

std::optional<std::string> node_oracle::failure() const
{
    if (!fleet_.violations().empty())
    {
        return fleet_.violations().front();
    }
    return failures_.empty() ? std::optional<std::string>() : failures_.front();
}

void node_oracle::record_settings(const proto::Settings& published)
{
    settings[published.version()] = published;
}

void node_oracle::record_request(const std::string& request_id,
                                 const std::string& workspace)
{
    workspace_of_[request_id] = workspace;
}

void node_oracle::check_secrets(const proto::Action& action)
{
    if (action.has_answer_caller())
    {
        return;
    }
    const auto bytes = action.SerializeAsString();
    for (const auto& key : test_keys)
    {
        if (bytes.find(key.secret) != std::string::npos)
        {
            fail("the secret of a key was sent by a VM");
        }
    }
}

void node_oracle::on_action(const std::string& vm, const proto::Action& action)
{
    check_secrets(action);
    if (action.has_use_settings())
    {
        const auto version = action.use_settings().settings().version();
        if (version <= versions_[vm])
        {
            fail("settings version did not increase at " + vm);
        }
        versions_[vm] = version;
    }
    if (action.has_open_connection())
    {
        const auto& server = action.open_connection().server();
        if (fleet_.connections(server) >=
            settings.begin()->second.database(0).connections())
        {
            fail("too many connections to " + server);
        }
    }
    if (action.has_call_database())
    {
        check_database_call(vm, action.call_database());
    }
}

bool node_oracle::is_leaving(const std::string& vm,
                             const std::string& server) const
{
    const auto version = versions_.find(vm);
    if (version == versions_.end())
    {
        return false;
    }
    const auto& active = settings.at(version->second);
    return std::any_of(active.database().begin(), active.database().end(),
                       [&](const proto::DatabaseSettings& each) {
                           return each.name() == server.substr(0, 1) &&
                                  each.leaving() == "yes";
                       });
}

void node_oracle::check_database_call(const std::string& vm,
                                      const proto::CallDatabase& call)
{
    if (!call.call().has_execute())
    {
        return;
    }
    const auto& execute = call.call().execute();
    const auto requested = workspace_of_.find(execute.request_id());
    if (requested == workspace_of_.end() ||
        requested->second != execute.workspace())
    {
        fail("request sent under the wrong workspace to " + call.server());
    }
    const bool new_work = execute.step() == proto::TRANSACTION_NONE ||
                          execute.step() == proto::TRANSACTION_BEGIN;
    if (new_work && is_leaving(vm, call.server()))
    {
        fail("new statement for a leaving database from " + vm);
    }
}

std::uint64_t node_oracle::oldest_active_version() const
{
    std::uint64_t oldest = settings.rbegin()->first;
    for (const auto& [vm, version] : versions_)
    {
        oldest = std::min(oldest, version);
    }
    return oldest;
}

double node_oracle::max_active_rate(const std::string& workspace) const
{
    std::uint64_t rate = 0;
    for (auto it = settings.lower_bound(oldest_active_version());
         it != settings.end(); ++it)
    {
        for (const auto& each : it->second.workspace())
        {
            rate = std::max(rate, each.name() == workspace ? each.rate() : 0);
        }
    }
    return static_cast<double>(rate);
}

void node_oracle::drain_bucket(const std::string& workspace,
                               leaky_bucket& bucket) const
{
    const auto passed = std::chrono::duration<double>(fleet_.now() - bucket.at);
    bucket.at = fleet_.now();
    bucket.level = std::max(0.0, bucket.level - passed.count() *
                                                    max_active_rate(workspace));
}

void node_oracle::on_event(const proto::Event& event)
{
    const admission key(event.vm() + "/" + std::to_string(event.incarnation()),
                        event.request_id());
    if (event.kind() == "admitted")
    {
        auto& bucket = buckets_[event.workspace()];
        drain_bucket(event.workspace(), bucket);
        bucket.level += 1;
        ++admitted_[key];
        const double burst = event.workspace() == "w0" ? 10 : 20;
        if (bucket.level > burst + rounding_tolerance)
        {
            fail("rate and burst exceeded: " + event.workspace());
        }
    }
    const auto code = static_cast<result_code>(event.code());
    if (event.kind() == "answered" && info(code).outcome == outcome::not_run &&
        admitted_[key] > 0)
    {
        --admitted_[key];
        auto& bucket = buckets_[event.workspace()];
        drain_bucket(event.workspace(), bucket);
        bucket.level = std::max(0.0, bucket.level - 1); // the token is returned
    }
}

void node_oracle::check_logs()
{
    for (const auto& [id, record] : writes)
    {
        check_entry(record.database, id, record);
    }
    for (const std::string database : {"d", "e"})
    {
        const auto text = log_text(database);
        for (const auto& marker : rolled_back_markers)
        {
            if (text.find(marker) != std::string::npos)
            {
                fail("rolled back, but in the log: " + marker);
            }
        }
    }
}

/// Concatenated statements of the log of the group's primary; if several
/// servers are primary, of the last one.
std::string node_oracle::log_text(const std::string& database) const
{
    auto& group = fleet_.group(database);
    std::string text;
    for (const auto& name : group.servers())
    {
        const auto& server = group.server(name);
        if (!server.primary())
        {
            continue;
        }
        text.clear();
        for (std::uint64_t i = 1; i <= server.log().size(); ++i)
        {
            for (const auto& statement : server.log().at(i).statement())
            {
                text += statement;
            }
        }
    }
    return text;
}

void node_oracle::check_entry(const std::string& database,
                              const std::string& id, const write_record& record)
{
    auto& group = fleet_.group(database);
    const auto text = log_text(database);
    for (const auto& marker : record.markers)
    {
        const auto count = count_occurrences(text, marker);
        if (count > 1)
        {
            fail("in the log more than once: " + id);
        }
        if (record.acknowledged && count == 0)
        {
            fail("acknowledged, but not in the log: " + id);
        }
        if (record.rejected == record.calls && count > 0)
        {
            fail("rejected, but in the log: " + id);
        }
    }
    for (const auto& name : group.servers())
    {
        const auto& server = group.server(name);
        if (record.acknowledged && server.primary() &&
            !server.holds(record.point))
        {
            fail(
                "acknowledged at a log point that the primary does not hold: " +
                id);
        }
    }
}

} // namespace tanagerhoist::fuzz

/// Simulated network between VMs, database servers and the platform.
#include "standin/fleet.hpp"

namespace tanagerhoist::standin
{

namespace
{

constexpr milliseconds connect_timeout{1000};
constexpr char platform_endpoint[] = "platform";

/// Connection id that is unique over all VMs and generations.
std::uint64_t fleet_wide_connection_id(std::uint64_t generation,
                                       std::uint64_t connection)
{
    constexpr unsigned shift = 40;
    return connection == 0 ? 0 : (generation << shift) + connection;
}

} // namespace

microseconds fleet::delay(const std::string& from, const std::string& to) const
{
    if (from == platform_endpoint || to == platform_endpoint)
    {
        return options_.to_platform;
    }
    const auto place = [this](const std::string& endpoint)
    {
        const auto server = servers_.find(endpoint);
        return server == servers_.end() ? options_.vms.at(endpoint)
                                        : server->second.data_centre;
    };
    return place(from) == place(to) ? options_.inside : options_.across;
}

void fleet::send(const std::string& from, const std::string& to,
                 std::function<void()> arrival)
{
    if (cuts_.count({from, to}) == 0)
    {
        later(delay(from, to), std::move(arrival));
    }
}

void fleet::send_peer(const proto::PeerMessage& message)
{
    const auto& from = message.from().vm();
    const auto& to = message.to();
    const bool known = options_.vms.count(to) == 1;
    if (!known || cuts_.count({from, to}) == 1 || chance(faults_.lost_percent))
    {
        return;
    }
    const int copies = chance(faults_.repeated_percent) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        const auto extra = microseconds(
            random_() % static_cast<std::uint64_t>(faults_.jitter.count() + 1));
        later(delay(from, to) + extra,
              [this, message]
              {
                  proto::Input input;
                  *input.mutable_peer() = message;
                  this->input(message.to(), vms_.at(message.to()).generation,
                              std::move(input));
              });
    }
}

void fleet::call_platform(fleet_vm& vm, const proto::CallPlatform& call)
{
    const auto name = vm.name;
    const auto generation = vm.generation;
    const auto tag = call.tag();
    vm.platform_calls_in_flight.insert(tag);
    const auto finish = [this, name, generation, tag](const proto::Input& input)
    {
        auto& to = vms_.at(name);
        if (to.generation == generation &&
            to.platform_calls_in_flight.erase(tag) == 1)
        {
            this->input(name, generation, input);
        }
    };
    proto::Input failed;
    failed.mutable_platform_failed()->set_tag(tag);
    later(milliseconds(call.timeout_ms()),
          [finish, failed] { finish(failed); });
    const auto work = platform_.delay() / 2;
    send(name, platform_endpoint,
         [this, name, call, finish, work]
         {
             later(work,
                   [this, name, call, finish, work]
                   {
                       const auto reply = platform_.handle(now_, call.call());
                       if (!reply)
                       {
                           return;
                       }
                       proto::Input input;
                       auto& answered = *input.mutable_platform_answered();
                       answered.set_tag(call.tag());
                       *answered.mutable_reply() = *reply;
                       later(work,
                             [this, name, finish, input] {
                                 send(platform_endpoint, name,
                                      [finish, input] { finish(input); });
                             });
                   });
         });
}

void fleet::connect_to_server(fleet_vm& vm, const proto::OpenConnection& open)
{
    const auto connection = open.connection();
    const auto& server = open.server();
    vm.server_connections[connection].server = server;
    const bool cut_off = cuts_.count({vm.name, server}) == 1;
    const auto wait =
        cut_off ? microseconds(connect_timeout) : options_.connect_time;
    later(wait,
          [this, name = vm.name, generation = vm.generation, connection, server,
           cut_off]
          {
              auto& from = vms_.at(name);
              const auto found = from.server_connections.find(connection);
              if (from.generation != generation ||
                  found == from.server_connections.end())
              {
                  return;
              }
              if (cut_off ||
                  !group(servers_.at(server).database).responds(server))
              {
                  drop_server_connection(from, connection, true);
                  return;
              }
              found->second.open = true;
              proto::Input input;
              input.mutable_connection_opened()->set_connection(connection);
              this->input(name, generation, std::move(input));
          });
}

/// @param tell whether the VM is notified
void fleet::drop_server_connection(fleet_vm& vm, std::uint64_t connection,
                                   bool tell)
{
    const auto found = vm.server_connections.find(connection);
    if (found == vm.server_connections.end())
    {
        return;
    }
    const auto server = found->second.server;
    const auto known = fleet_wide_connection_id(vm.generation, connection);
    vm.server_connections.erase(found);
    send(vm.name, server,
         [this, server, known] {
             group(servers_.at(server).database)
                 .connection_closed(server, known);
         });
    if (tell)
    {
        proto::Input input;
        input.mutable_connection_closed()->set_connection(connection);
        later(microseconds(0),
              [this, name = vm.name, generation = vm.generation, input]
              { this->input(name, generation, input); });
    }
    const auto calls = vm.in_flight;
    for (const auto& [tag, used] : calls)
    {
        if (used == connection)
        {
            fail_call(vm, tag, true);
        }
    }
}

void fleet::fail_call(fleet_vm& vm, std::uint64_t tag, bool sent)
{
    vm.in_flight.erase(tag);
    proto::Input input;
    input.mutable_database_failed()->set_tag(tag);
    input.mutable_database_failed()->set_sent(sent);
    later(microseconds(0), [this, name = vm.name, generation = vm.generation,
                            input] { this->input(name, generation, input); });
}

void fleet::call_database(fleet_vm& vm, const proto::CallDatabase& call)
{
    const auto connection = call.connection();
    const auto tag = call.tag();
    const auto name = vm.name;
    const auto generation = vm.generation;
    const auto server_connection = vm.server_connections.find(connection);
    if (connection != 0 && (server_connection == vm.server_connections.end() ||
                            !server_connection->second.open))
    {
        fail_call(vm, tag, false);
        return;
    }
    for (const auto& [other, used] : vm.in_flight)
    {
        if (connection != 0 && used == connection)
        {
            violations_.push_back("concurrent statements on a connection of " +
                                  name);
        }
    }
    vm.in_flight[tag] = connection;
    later(milliseconds(call.timeout_ms()),
          [this, name, generation, tag, connection]
          {
              auto& from = vms_.at(name);
              if (from.generation != generation ||
                  from.in_flight.count(tag) == 0)
              {
                  return;
              }
              drop_server_connection(from, connection, true);
              if (connection == 0)
              {
                  fail_call(from, tag, true);
              }
          });
    const auto answer = [this, name, generation, tag, server = call.server()](
                            const proto::DatabaseReply& reply)
    {
        send(server, name,
             [this, name, generation, tag, reply]
             {
                 auto& to = vms_.at(name);
                 if (to.generation != generation ||
                     to.in_flight.erase(tag) == 0)
                 {
                     return;
                 }
                 proto::Input input;
                 input.mutable_database_answered()->set_tag(tag);
                 *input.mutable_database_answered()->mutable_reply() = reply;
                 this->input(name, generation, std::move(input));
             });
    };
    send(name, call.server(),
         [this, call, answer,
          known = fleet_wide_connection_id(generation, connection)]
         { serve(call.server(), call.call(), known, answer); });
}

void fleet::serve(const std::string& server, const proto::DatabaseCall& call,
                  std::uint64_t connection,
                  const waiting_calls::answer_handler& answer)
{
    auto& state = servers_.at(server);
    if (call.status().has_await())
    {
        const auto wait = milliseconds(call.status().wait_ms());
        waiting_.add(server, call, now_ + wait, answer);
        return;
    }
    const auto run = [this, server, call, connection, answer]
    {
        const auto reply = group(servers_.at(server).database)
                               .handle(now_, server, connection, call);
        if (reply)
        {
            answer(*reply);
        }
    };
    if (!call.has_execute())
    {
        run();
        return;
    }
    state.waiting.emplace_back(run);
    start_statements(server);
}

void fleet::start_statements(const std::string& server)
{
    auto& state = servers_.at(server);
    while (state.running < state.slots && !state.waiting.empty())
    {
        ++state.running;
        auto statement = std::move(state.waiting.front());
        state.waiting.pop_front();
        later(options_.service_time,
              [this, server, statement, generation = state.generation]
              {
                  if (servers_.at(server).generation == generation)
                  {
                      --servers_.at(server).running;
                      statement();
                      start_statements(server);
                  }
              });
    }
}

void fleet::answer_waiting_calls()
{
    waiting_.answer(
        now_,
        [this](const std::string& server, const proto::DatabaseCall& call) {
            return group(servers_.at(server).database)
                .handle(now_, server, 0, call);
        });
}

void fleet::cut(const std::string& one, const std::string& other)
{
    cuts_.insert({one, other});
    cuts_.insert({other, one});
}

void fleet::heal()
{
    cuts_.clear();
    for (auto& [name, each] : groups_)
    {
        each->heal();
    }
}

void fleet::kill_server(const std::string& server)
{
    auto& state = servers_.at(server);
    group(state.database).kill(now_, server);
    ++state.generation;
    state.running = 0;
    state.waiting.clear();
    for (auto& [name, vm] : vms_)
    {
        const auto server_connections = vm.server_connections;
        for (const auto& [connection, server_connection] : server_connections)
        {
            if (server_connection.server == server && server_connection.open)
            {
                drop_server_connection(vm, connection, true);
            }
        }
    }
}

void fleet::restart_server(const std::string& server)
{
    group(servers_.at(server).database).restart(now_, server);
}

database_group& fleet::group(const std::string& database)
{
    return *groups_.at(database);
}

std::uint64_t fleet::connections(const std::string& server) const
{
    std::uint64_t count = 0;
    for (const auto& [name, vm] : vms_)
    {
        for (const auto& [connection, server_connection] :
             vm.server_connections)
        {
            count += server_connection.server == server ? 1 : 0;
        }
    }
    return count;
}

} // namespace tanagerhoist::standin

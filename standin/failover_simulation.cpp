#include "standin/failover_simulation.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist::standin
{

namespace
{

constexpr milliseconds replication_step{1};
constexpr milliseconds tick_interval{50};
constexpr std::uint64_t ticks_per_heartbeat = 10;
constexpr std::uint64_t statement_connection = 1;

} // namespace

failover_simulation::failover_simulation(
    const std::vector<std::string>& vms,
    const std::map<std::string, std::vector<std::string>>& groups,
    delay_rule delay, primary_watch_options options)
    : names_(vms), delay_(std::move(delay)), options_(options)
{
    for (const auto& [database, servers] : groups)
    {
        groups_[database] = std::make_unique<database_group>(now_, servers);
        for (const auto& server : servers)
        {
            auto& entry = *settings_.add_server();
            entry.set_name(server);
            entry.set_database(database);
            database_of_[server] = database;
        }
    }
    for (const auto& name : names_)
    {
        start_vm(name);
    }
}

void failover_simulation::start_vm(const std::string& name)
{
    auto& vm = vms_[name];
    vm.out.take_actions();
    vm.alive = true;
    vm.frozen = false;
    vm.backlog.clear();
    ++vm.generation;
    vm.self.vm = name;
    vm.self.number = next_number_++;
    vm.watch = std::make_unique<primary_watch>(
        vm.self, [this](moment) { return names_; }, options_);
    vm.confirmer = std::make_unique<write_confirmer>();
    vm.watch->use_settings(now_, settings_);
}

database_group& failover_simulation::group(const std::string& database)
{
    return *groups_.at(database);
}

void failover_simulation::later(microseconds delay, std::function<void()> event)
{
    events_[{now_ + delay, sequence_++}] = std::move(event);
}

void failover_simulation::send(const std::string& from, const std::string& to,
                               std::function<void()> arrival)
{
    const auto delay = delay_(from, to);
    if (delay && cuts_.count({from, to}) == 0)
    {
        later(*delay, std::move(arrival));
    }
}

void failover_simulation::input(const std::string& name,
                                std::uint64_t generation,
                                std::function<void(simulated_vm&)> take)
{
    auto& vm = vms_.at(name);
    if (!vm.alive || vm.generation != generation)
    {
        return;
    }
    if (vm.frozen)
    {
        vm.backlog.emplace_back([this, name, generation, take = std::move(take)]
                                { input(name, generation, take); });
        return;
    }
    take(vm);
    flush(vm);
}

void failover_simulation::tick_all()
{
    const auto ticks =
        to_us(next_tick_) /
        static_cast<std::uint64_t>(microseconds(tick_interval).count());
    const bool heartbeat = ticks % ticks_per_heartbeat == 0;
    for (const auto& name : names_)
    {
        input(name, vms_.at(name).generation,
              [this, heartbeat](simulated_vm& vm)
              {
                  vm.watch->on_tick(now_, vm.out);
                  vm.confirmer->on_tick(now_, vm.out);
                  proto::PeerMessage message;
                  if (heartbeat)
                  {
                      vm.watch->take_unsent_beliefs(
                          *message.mutable_heartbeat());
                  }
                  for (const auto& other : names_)
                  {
                      if (heartbeat && other != vm.self.vm)
                      {
                          vm.out.send_peer(other, 0, message);
                      }
                  }
              });
    }
}

void failover_simulation::run_for(milliseconds duration)
{
    const moment end = now_ + duration;
    while (now_ < end)
    {
        now_ += replication_step;
        while (!events_.empty() && events_.begin()->first.first <= now_)
        {
            auto event = events_.extract(events_.begin());
            event.mapped()();
        }
        for (auto& [database, each] : groups_)
        {
            each->advance(now_);
        }
        answer_waiting_calls();
        if (now_ >= next_tick_)
        {
            tick_all();
            next_tick_ += tick_interval;
        }
    }
}

void failover_simulation::write(const std::string& vm,
                                const std::string& database,
                                const std::string& request_id,
                                const std::string& statement,
                                milliseconds deadline, write_handler done)
{
    const moment end = now_ + deadline;
    input(vm, vms_.at(vm).generation,
          [this, vm, database, request_id, statement, end,
           done = std::move(done)](simulated_vm& at)
          {
              const auto* belief = at.watch->primary(database);
              if (belief == nullptr)
              {
                  done(now_, write_result::not_run, {});
                  return;
              }
              proto::DatabaseCall call;
              auto& execute = *call.mutable_execute();
              execute.set_request_id(request_id);
              execute.set_kind(proto::STATEMENT_WRITE);
              execute.set_statement(statement);
              execute.set_term(belief->term());
              at.out.call_database(
                  belief->server(), statement_connection, std::move(call),
                  milliseconds(to_ms(end - now_)),
                  [this, vm, database, believed = *belief, end,
                   done](moment, const proto::DatabaseReply* reply, bool) {
                      handle_execute_reply(vm, database, believed, reply, end,
                                           done);
                  });
          });
}

void failover_simulation::handle_execute_reply(
    const std::string& name, const std::string& database,
    const proto::PrimaryBelief& belief, const proto::DatabaseReply* reply,
    moment deadline, const write_handler& done)
{
    auto& vm = vms_.at(name);
    if (reply == nullptr)
    {
        vm.watch->report_failure(now_, database, belief.server());
        done(now_, write_result::unknown, {});
        return;
    }
    const auto& answer = reply->execute();
    const auto point = answer.point();
    const auto confirmed =
        [done, point](moment at, write_confirmer::verdict verdict)
    {
        const bool held = verdict == write_confirmer::verdict::confirmed;
        done(at, held ? write_result::confirmed : write_result::unknown, point);
    };
    auto others = group(database).servers();
    others.erase(std::find(others.begin(), others.end(), belief.server()));
    if (answer.outcome() == proto::DATABASE_OK)
    {
        vm.confirmer->confirm(now_, database, others, point, deadline, vm.out,
                              confirmed);
    }
    else if (answer.outcome() == proto::DATABASE_DUPLICATE)
    {
        vm.confirmer->confirm_current(now_, database, belief.server(), others,
                                      belief.term(), deadline, vm.out,
                                      confirmed);
    }
    else
    {
        vm.watch->report_failure(now_, database, belief.server());
        done(now_, write_result::not_run, {});
    }
}

void failover_simulation::cut(const std::string& one, const std::string& other)
{
    cuts_.insert({one, other});
    cuts_.insert({other, one});
    const auto a = database_of_.find(one);
    const auto b = database_of_.find(other);
    if (a != database_of_.end() && b != database_of_.end() &&
        a->second == b->second)
    {
        group(a->second).cut(one, other);
    }
}

void failover_simulation::isolate(const std::string& server)
{
    for (const auto& name : names_)
    {
        cut(server, name);
    }
    group(database_of_.at(server)).isolate(server);
}

void failover_simulation::heal()
{
    cuts_.clear();
    for (auto& [database, each] : groups_)
    {
        each->heal();
    }
}

void failover_simulation::kill_server(const std::string& server)
{
    group(database_of_.at(server)).kill(now_, server);
}

void failover_simulation::restart_server(const std::string& server)
{
    group(database_of_.at(server)).restart(now_, server);
}

void failover_simulation::kill_vm(const std::string& vm)
{
    vms_.at(vm).alive = false;
}

void failover_simulation::restart_vm(const std::string& vm)
{
    start_vm(vm);
}

void failover_simulation::set_vm_frozen(const std::string& vm, bool frozen)
{
    auto& state = vms_.at(vm);
    state.frozen = frozen;
    if (!frozen)
    {
        for (auto& event : std::exchange(state.backlog, {}))
        {
            event();
        }
    }
}

} // namespace tanagerhoist::standin

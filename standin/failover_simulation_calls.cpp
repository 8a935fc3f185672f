#include "standin/failover_simulation.hpp"

// Actions of the VMs: calls to servers and the platform, and messages.
namespace tanagerhoist::standin
{

void failover_simulation::flush(simulated_vm& vm)
{
    for (const auto& action : vm.out.take_actions())
    {
        if (action.has_call_database())
        {
            call_database(vm, action.call_database());
        }
        else if (action.has_call_platform())
        {
            call_platform(vm, action.call_platform());
        }
        else if (action.has_send_peer())
        {
            auto message = action.send_peer();
            message.mutable_from()->set_vm(vm.self.vm);
            message.mutable_from()->set_number(vm.self.number);
            send(vm.self.vm, message.to(),
                 [this, message] { deliver(message); });
        }
    }
    vm.out.take_events();
}

void failover_simulation::call_database(simulated_vm& vm,
                                        const proto::CallDatabase& call)
{
    if (observer_)
    {
        observer_(vm.self, call);
    }
    const std::string name = vm.self.vm;
    const auto generation = vm.generation;
    const auto finish = [this, name, generation, tag = call.tag()](
                            const std::optional<proto::DatabaseReply>& reply)
    {
        input(name, generation,
              [this, tag, reply](simulated_vm& at)
              {
                  if (auto handler = at.out.take_database(tag))
                  {
                      handler(now_, reply ? &*reply : nullptr, true);
                  }
              });
    };
    later(milliseconds(call.timeout_ms()), [finish] { finish(std::nullopt); });
    const auto answer = [this, name, finish, server = call.server()](
                            const proto::DatabaseReply& reply)
    { send(server, name, [finish, reply] { finish(reply); }); };
    send(name, call.server(), [this, call, answer] { serve(call, answer); });
}

void failover_simulation::serve(const proto::CallDatabase& call,
                                const waiting_calls::answer_handler& answer)
{
    if (call.call().status().has_await())
    {
        const auto wait = milliseconds(call.call().status().wait_ms());
        waiting_.add(call.server(), call.call(), now_ + wait, answer);
        answer_waiting_calls();
        return;
    }
    const auto reply =
        group(database_of_.at(call.server()))
            .handle(now_, call.server(), call.connection(), call.call());
    if (reply)
    {
        answer(*reply);
    }
}

void failover_simulation::answer_waiting_calls()
{
    waiting_.answer(
        now_,
        [this](const std::string& server, const proto::DatabaseCall& call) {
            return group(database_of_.at(server)).handle(now_, server, 0, call);
        });
}

void failover_simulation::call_platform(simulated_vm& vm,
                                        const proto::CallPlatform& call)
{
    const std::string name = vm.self.vm;
    const auto generation = vm.generation;
    const auto finish = [this, name, generation, tag = call.tag()](
                            const std::optional<proto::PlatformReply>& reply)
    {
        input(name, generation,
              [this, tag, reply](simulated_vm& at)
              {
                  if (auto handler = at.out.take_platform(tag))
                  {
                      handler(now_, reply ? &*reply : nullptr);
                  }
              });
    };
    later(milliseconds(call.timeout_ms()), [finish] { finish(std::nullopt); });
    send(name, "platform",
         [this, name, call, finish]
         {
             const auto reply = platform_.handle(now_, call.call());
             if (reply)
             {
                 send("platform", name, [finish, reply] { finish(reply); });
             }
         });
}

void failover_simulation::deliver(const proto::PeerMessage& message)
{
    const auto generation = vms_.at(message.to()).generation;
    input(message.to(), generation,
          [this, message](simulated_vm& vm)
          {
              const auto& from = message.from();
              if (message.has_suspect_ask())
              {
                  vm.watch->on_suspect_ask(now_, from, message.suspect_ask(),
                                           vm.out);
              }
              if (message.has_suspect_answer())
              {
                  vm.watch->on_suspect_answer(now_, from,
                                              message.suspect_answer(), vm.out);
              }
              for (const auto& belief : message.heartbeat().primary())
              {
                  vm.watch->update_belief(now_, belief);
              }
          });
}

} // namespace tanagerhoist::standin

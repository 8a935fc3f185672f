/// Simulated clock, VMs and callers.
#include "standin/fleet.hpp"

#include "tanagerhoist/decision/authenticator.hpp"
#include "tanagerhoist/decision/publish_plan.hpp"

namespace tanagerhoist::standin
{

namespace
{

constexpr milliseconds replication_step{1};
// Wall clock time at the start.
constexpr std::uint64_t epoch_us = 1'700'000'000'000'000;

} // namespace

std::uint64_t publish(platform& service, moment now, proto::Settings settings,
                      std::uint64_t from_version, const std::string& id)
{
    publish_request order;
    order.settings = std::move(settings);
    order.from_version = from_version;
    order.publish_id = id;
    order.publisher = "operator";
    publish_plan plan(std::move(order));
    while (const auto call = plan.next())
    {
        const auto reply = service.handle(now, *call);
        reply ? plan.on_reply(*reply) : plan.on_failure(true);
    }
    const auto& result = plan.result();
    return result.outcome == publish_outcome::published ? result.version : 0;
}

fleet::fleet(fleet_options options)
    : options_(std::move(options)), random_(options_.seed)
{
    std::map<std::string, std::vector<std::string>> names;
    for (const auto& server : options_.settings.server())
    {
        auto& state = servers_[server.name()];
        state.database = server.database();
        state.data_centre = server.data_centre();
        names[server.database()].push_back(server.name());
    }
    for (const auto& database : options_.settings.database())
    {
        const auto& members = names[database.name()];
        auto& made = groups_[database.name()];
        made = std::make_unique<database_group>(now_, members);
        made->set_lag(options_.replica_lag);
        for (const auto& server : members)
        {
            servers_[server].slots = database.slots();
        }
    }
    publish(platform_, now_, options_.settings, 0, "first");
    for (const auto& [name, data_centre] : options_.vms)
    {
        start(name);
    }
}

void fleet::observe(action_observer actions, event_observer events)
{
    on_action_ = std::move(actions);
    on_event_ = std::move(events);
}

void fleet::later(microseconds delay, std::function<void()> event)
{
    events_[{now_ + delay, sequence_++}] = std::move(event);
}

void fleet::run_for(microseconds duration)
{
    const moment end = now_ + duration;
    while (true)
    {
        const bool event =
            !events_.empty() && events_.begin()->first.first <= next_step_;
        const moment next = event ? events_.begin()->first.first : next_step_;
        if (next > end)
        {
            break;
        }
        now_ = next;
        if (event)
        {
            const auto taken = events_.extract(events_.begin());
            taken.mapped()();
            continue;
        }
        next_step_ += replication_step;
        for (auto& [name, group] : groups_)
        {
            group->advance(now_);
        }
        answer_waiting_calls();
    }
    now_ = end;
}

void fleet::start(const std::string& name)
{
    auto& vm = vms_[name];
    vm = fleet_vm();
    vm.name = name;
    vm.generation = next_generation_++;
    vm.started = now_;
    auto options = options_.node;
    options.vm = name;
    options.data_centre = options_.vms.at(name);
    vm.decisions = std::make_unique<node>(std::move(options));
    proto::ListedVm listed;
    listed.set_vm(name);
    listed.set_data_centre(options_.vms.at(name));
    platform_.list(now_, listed);
    // Staggers the ticks of different VMs.
    const auto phase = microseconds(vm.generation * 2'700 % 20'000);
    later(phase,
          [this, name, generation = vm.generation] { tick(name, generation); });
}

void fleet::tick(const std::string& name, std::uint64_t generation)
{
    auto& vm = vms_.at(name);
    if (vm.generation != generation || !vm.decisions)
    {
        return;
    }
    later(node::tick_interval,
          [this, name, generation] { tick(name, generation); });
    if (!vm.frozen)
    {
        proto::Input ticked;
        ticked.mutable_tick();
        input(name, generation, std::move(ticked));
    }
}

void fleet::input(const std::string& name, std::uint64_t generation,
                  proto::Input input)
{
    auto& vm = vms_.at(name);
    if (vm.generation != generation || !vm.decisions)
    {
        return;
    }
    if (vm.frozen)
    {
        vm.backlog.emplace_back([this, name, generation, input]
                                { this->input(name, generation, input); });
        return;
    }
    input.set_now_us(to_us(moment(now_ - vm.started)));
    input.set_wall_us(epoch_us + to_us(now_));
    const auto actions = vm.decisions->apply(input);
    for (const auto& event : vm.decisions->take_events())
    {
        if (on_event_)
        {
            on_event_(event);
        }
    }
    for (const auto& action : actions)
    {
        perform(vm, action);
    }
    if (vm.finished)
    {
        stop(vm);
    }
}

void fleet::perform(fleet_vm& vm, const proto::Action& action)
{
    if (on_action_)
    {
        on_action_(vm.name, action);
    }
    switch (action.body_case())
    {
    case proto::Action::kAnswerCaller:
        return answer_caller(vm, action.answer_caller());
    case proto::Action::kCloseCaller:
        return disconnect_caller(action.close_caller().caller());
    case proto::Action::kOpenConnection:
        return connect_to_server(vm, action.open_connection());
    case proto::Action::kCloseConnection:
        return drop_server_connection(
            vm, action.close_connection().connection(), false);
    case proto::Action::kCallDatabase:
        return call_database(vm, action.call_database());
    case proto::Action::kCallPlatform:
        return call_platform(vm, action.call_platform());
    case proto::Action::kSendPeer:
        return send_peer(action.send_peer());
    case proto::Action::kUseSettings:
        vm.settings =
            std::make_unique<settings_view>(action.use_settings().settings());
        return;
    case proto::Action::kDrainFinished:
        vm.finished = true;
        platform_.drop(now_, vm.name);
        for (const auto& [id, each] : vm.calls)
        {
            if (each.arrived) // otherwise it never reached the VM
            {
                violations_.push_back(
                    "drain finished with an unanswered call: " + vm.name);
            }
        }
        return;
    case proto::Action::BODY_NOT_SET:
        break;
    }
}

void fleet::stop(fleet_vm& vm)
{
    while (!vm.server_connections.empty())
    {
        drop_server_connection(vm, vm.server_connections.begin()->first, false);
    }
    for (auto& [id, each] : callers_)
    {
        each.open = each.open && each.generation != vm.generation;
    }
    for (auto& [id, each] : vm.calls)
    {
        later(options_.to_clients, [done = each.done] { done(nullptr); });
    }
    vm.calls.clear();
    vm.decisions.reset();
}

void fleet::kill(const std::string& vm)
{
    if (running(vm))
    {
        stop(vms_.at(vm));
    }
}

void fleet::freeze(const std::string& vm)
{
    vms_.at(vm).frozen = true;
}

void fleet::resume(const std::string& vm)
{
    vms_.at(vm).frozen = false;
    for (auto& event : std::exchange(vms_.at(vm).backlog, {}))
    {
        event();
    }
}

void fleet::drain(const std::string& vm)
{
    platform_.mark_leaving(now_, vm);
    proto::Input drained;
    drained.mutable_drain();
    input(vm, vms_.at(vm).generation, std::move(drained));
}

bool fleet::running(const std::string& vm) const
{
    return vms_.at(vm).decisions != nullptr;
}

bool fleet::frozen(const std::string& vm) const
{
    return vms_.at(vm).frozen;
}

const node* fleet::decisions(const std::string& vm) const
{
    return vms_.at(vm).decisions.get();
}

std::size_t fleet::unanswered(const std::string& vm) const
{
    return vms_.at(vm).calls.size();
}

std::uint64_t fleet::settings_version(const std::string& vm) const
{
    const auto& settings = vms_.at(vm).settings;
    return settings ? settings->version() : 0;
}

std::uint64_t fleet::connect(const std::string& vm)
{
    const auto id = next_handle_++;
    callers_[id] = {vm, vms_.at(vm).generation, 0, false, running(vm)};
    return id;
}

bool fleet::connected(std::uint64_t caller) const
{
    const auto& found = callers_.at(caller);
    return found.open && !found.ending;
}

void fleet::disconnect_caller(std::uint64_t caller)
{
    callers_.at(caller).ending = true;
    end_caller(caller);
}

void fleet::end_caller(std::uint64_t id)
{
    auto& from = callers_.at(id);
    if (!from.ending || !from.open || from.outstanding > 0)
    {
        return;
    }
    from.open = false;
    later(microseconds(0),
          [this, id]
          {
              proto::Input gone;
              gone.mutable_caller_gone()->set_caller(id);
              const auto& ended = callers_.at(id);
              input(ended.vm, ended.generation, std::move(gone));
          });
}

void fleet::request(std::uint64_t caller, const std::string& key,
                    const proto::CallerRequest& request, answer_handler done)
{
    auto& from = callers_.at(caller);
    auto& vm = vms_.at(from.vm);
    if (!from.open || vm.generation != from.generation)
    {
        later(options_.to_clients, [done = std::move(done)] { done(nullptr); });
        return;
    }
    const auto id = next_handle_++;
    ++from.outstanding;
    vm.calls[id] = {caller, request.request_id(), std::move(done), false};
    later(options_.to_clients, [this, caller, id, key, request]
          { arrive(caller, id, key, request); });
}

void fleet::arrive(std::uint64_t caller, std::uint64_t call,
                   const std::string& key, const proto::CallerRequest& request)
{
    const auto& from = callers_.at(caller);
    auto& vm = vms_.at(from.vm);
    if (const auto found = vm.calls.find(call); found != vm.calls.end())
    {
        found->second.arrived = !vm.frozen;
    }
    proto::Input arrived;
    auto& body = *arrived.mutable_caller_arrived();
    body.set_call(call);
    body.set_caller(caller);
    *body.mutable_request() = request;
    if (!key.empty())
    {
        const auto found =
            vm.settings ? authenticate(*vm.settings, key)
                        : authentication{result_code::settings_missing, {}};
        *body.mutable_principal() = found.principal;
        body.set_refused(static_cast<std::uint32_t>(found.code));
    }
    input(from.vm, from.generation, std::move(arrived));
}

void fleet::answer_caller(fleet_vm& vm, const proto::AnswerCaller& answer)
{
    const auto found = vm.calls.find(answer.call());
    if (found == vm.calls.end())
    {
        violations_.push_back("answer to an unknown call at " + vm.name);
        return;
    }
    if (found->second.request_id != answer.reply().request_id())
    {
        violations_.push_back("answer with the id of another request at " +
                              vm.name);
    }
    const auto asked = std::move(found->second);
    vm.calls.erase(found);
    --callers_.at(asked.caller).outstanding;
    end_caller(asked.caller);
    later(options_.to_clients,
          [done = asked.done, reply = answer.reply()] { done(&reply); });
}

} // namespace tanagerhoist::standin
